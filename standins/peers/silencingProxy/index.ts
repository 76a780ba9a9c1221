import * as net from "node:net";

interface SocketPair {
  readonly downstream: net.Socket;
  readonly upstream: net.Socket;
}

/** Forwards TCP connections to a loopback port; after silence(), the existing ones deliver nothing. */
export class SilencingProxy implements AsyncDisposable {
  private readonly server = net.createServer((socket) => this.forward(socket));
  private readonly pairs: SocketPair[] = [];
  private readonly silenced: SocketPair[] = [];

  constructor(private readonly targetPort: number) {}

  /** Listens on a free loopback port and returns it. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Stops forwarding on the existing connections without closing them. */
  silence(): void {
    this.silenced.push(...this.pairs);
    for (const { downstream, upstream } of this.pairs) {
      downstream.unpipe(upstream);
      upstream.unpipe(downstream);
      downstream.pause();
      upstream.pause();
    }
  }

  /** Forwards bytes on silenced connections again, but only towards the target. */
  release(): void {
    for (const { downstream, upstream } of this.silenced.splice(0)) downstream.pipe(upstream);
  }

  /** Number of connections accepted so far. */
  get connectionsCount(): number {
    return this.pairs.length;
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const { downstream, upstream } of this.pairs) {
      downstream.destroy();
      upstream.destroy();
    }
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private forward(downstream: net.Socket): void {
    const upstream = net.connect(this.targetPort, "127.0.0.1");
    downstream.on("error", () => upstream.destroy());
    upstream.on("error", () => downstream.destroy());
    upstream.on("close", () => downstream.destroy());
    downstream.pipe(upstream);
    upstream.pipe(downstream);
    this.pairs.push({ downstream, upstream });
  }
}
