/** What tells one backend server's client from another's. */
export interface BackendAddress {
  readonly name: string;
  readonly url: string;
}

interface CachedClient<Client> {
  readonly url: string;
  readonly client: Client;
}

/** One client per backend server; a server that moved to another address gets a new one. */
export class ClientCache<Client extends Disposable> implements Disposable {
  private readonly clients = new Map<string, CachedClient<Client>>();

  constructor(private readonly create: (name: string, url: string) => Client) {}

  clientFor(backend: BackendAddress): Client {
    const url = backend.url.replace(/\/+$/, "");
    const known = this.clients.get(backend.name);
    if (known?.url === url) return known.client;
    known?.client[Symbol.dispose]();
    const client = this.create(backend.name, url);
    this.clients.set(backend.name, { url, client });
    return client;
  }

  [Symbol.dispose](): void {
    for (const { client } of this.clients.values()) client[Symbol.dispose]();
    this.clients.clear();
  }
}
