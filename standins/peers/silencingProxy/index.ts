import * as net from "node:net";

interface SocketPair {
  readonly near: net.Socket;
  readonly far: net.Socket;
}

/** Passes connections on to a port; those made before silence() carry nothing any more. */
export class SilencingProxy implements AsyncDisposable {
  private readonly server = net.createServer((socket) => this.pass(socket));
  private readonly pairs: SocketPair[] = [];
  private readonly silenced: SocketPair[] = [];

  constructor(private readonly targetPort: number) {}

  /** Starts to listen; returns the port. */
  async listen(): Promise<number> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    return (this.server.address() as net.AddressInfo).port;
  }

  /** Leaves the connections open, and holds back their bytes until release(). */
  silence(): void {
    this.silenced.push(...this.pairs);
    for (const { near, far } of this.pairs) {
      near.unpipe(far);
      far.unpipe(near);
      near.pause();
      far.pause();
    }
  }

  /** Lets the held bytes of silenced connections go on to the target. */
  release(): void {
    for (const { near, far } of this.silenced.splice(0)) near.pipe(far);
  }

  /** Connections accepted so far. */
  get connectionsCount(): number {
    return this.pairs.length;
  }

  [Symbol.asyncDispose](): Promise<void> {
    for (const { near, far } of this.pairs) {
      near.destroy();
      far.destroy();
    }
    return new Promise((resolve) => this.server.close(() => resolve()));
  }

  private pass(near: net.Socket): void {
    const far = net.connect(this.targetPort, "127.0.0.1");
    near.on("error", () => far.destroy());
    far.on("error", () => near.destroy());
    far.on("close", () => near.destroy());
    near.pipe(far);
    far.pipe(near);
    this.pairs.push({ near, far });
  }
}
