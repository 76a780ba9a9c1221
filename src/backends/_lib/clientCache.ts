/** Name and base address of a backend server. */
export interface BackendAddress {
  readonly name: string;
  readonly url: string;
}

interface CachedClient<Client> {
  readonly url: string;
  readonly client: Client;
}

/** Caches one client per backend server; replaces a client if the server's address has changed. */
export class ClientCache<Client extends Disposable> implements Disposable {
  private readonly clients = new Map<string, CachedClient<Client>>();

  constructor(private readonly createClient: (name: string, url: string) => Client) {}

  /** Returns the client of a backend server; creates it on first use. */
  clientFor(backend: BackendAddress): Client {
    const url = backend.url.replace(/\/+$/, "");
    const cached = this.clients.get(backend.name);
    if (cached?.url === url) return cached.client;
    cached?.client[Symbol.dispose]();
    const client = this.createClient(backend.name, url);
    this.clients.set(backend.name, { url, client });
    return client;
  }

  [Symbol.dispose](): void {
    for (const { client } of this.clients.values()) client[Symbol.dispose]();
    this.clients.clear();
  }
}
