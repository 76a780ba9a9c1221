import type * as http from "node:http";
import type * as net from "node:net";

/** The listening socket of a stand-in and its open connections. */
export class Listener {
  private readonly sockets = new Set<net.Socket>();
  private readonly silentSockets = new WeakSet<net.Socket>();
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

  get url(): string {
    return `http://${this.address}:${this.port}`;
  }

  async open(): Promise<void> {
    if (this.server.listening) return;
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen(this.port, this.address, resolve);
    });
    const bound = this.server.address();
    if (typeof bound === "object" && bound !== null) this.port = bound.port;
  }

  /** Stops listening and breaks every connection. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    if (!this.server.listening) return;
    await new Promise((resolve) => this.server.close(resolve));
  }

  /** Makes the connections that are open now deliver nothing any more. */
  silence(): void {
    for (const socket of this.sockets) this.silentSockets.add(socket);
  }

  isSilent(socket: net.Socket): boolean {
    return this.silentSockets.has(socket);
  }

  /** Resolves when the connection is closed. */
  async closed(socket: net.Socket): Promise<void> {
    if (socket.destroyed) return;
    await new Promise((resolve) => socket.once("close", resolve));
  }
}
