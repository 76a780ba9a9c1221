import type * as http from "node:http";
import type * as net from "node:net";

/** The listening socket of a stand-in and its open connections. */
export class Listener {
  private readonly sockets = new Set<net.Socket>();
  private readonly silencedSockets = new WeakSet<net.Socket>();
  private port: number;

  constructor(
    private readonly server: http.Server,
    private readonly address: string,
    port = 0,
  ) {
    this.port = port;
    server.on("connection", (socket) => {
      this.sockets.add(socket);
      socket.once("close", () => this.sockets.delete(socket));
    });
  }

  /** Base address, e.g. `http://127.0.0.1:40001`. */
  get url(): string {
    return `http://${this.address}:${this.port}`;
  }

  /** Starts to listen, unless it already listens; rejects if the port is in use. */
  async open(): Promise<void> {
    if (this.server.listening) return;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(this.port, this.address, resolve);
    });
    const bound = this.server.address();
    if (typeof bound === "object" && bound !== null) this.port = bound.port;
  }

  /** Stops listening and destroys every connection. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    if (!this.server.listening) return;
    await new Promise((resolve) => this.server.close(resolve));
  }

  /** Marks the open connections as silenced, so that they deliver nothing more; new ones work. */
  silence(): void {
    for (const socket of this.sockets) this.silencedSockets.add(socket);
  }

  /** Whether the connection was silenced. */
  isSilenced(socket: net.Socket): boolean {
    return this.silencedSockets.has(socket);
  }

  /** Resolves when the connection is closed. */
  async waitUntilClosed(socket: net.Socket): Promise<void> {
    if (socket.destroyed) return;
    await new Promise((resolve) => socket.once("close", resolve));
  }
}
