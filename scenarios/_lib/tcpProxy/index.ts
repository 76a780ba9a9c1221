import * as net from "node:net";

/** Controls whether a proxy accepts connections, and when it may forward bytes. */
export interface ProxyPolicy {
  isOpen(): boolean;
  /** Resolves when no end of the connection is paused. */
  waitUntilResumed(): Promise<void>;
}

const LOOPBACK = "127.0.0.1";

/** A TCP proxy to a local port, whose connections can be refused, held back and broken. */
export class TcpProxy implements AsyncDisposable {
  private readonly sockets = new Set<net.Socket>();
  private readonly server: net.Server;

  constructor(
    private readonly targetPort: number,
    private readonly policy: ProxyPolicy,
  ) {
    this.server = net.createServer((socket) => this.accept(socket));
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Starts to listen on a free port. */
  async open(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, LOOPBACK, resolve));
  }

  /** Breaks all open connections. */
  breakConnections(): void {
    for (const socket of this.sockets) socket.destroy();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.breakConnections();
    await new Promise((resolve) => this.server.close(resolve));
  }

  private accept(inbound: net.Socket): void {
    if (!this.policy.isOpen()) {
      inbound.destroy();
      return;
    }
    const outbound = net.connect(this.targetPort, LOOPBACK);
    for (const socket of [inbound, outbound]) {
      this.sockets.add(socket);
      socket.setNoDelay(true);
      socket.once("close", () => this.sockets.delete(socket));
      socket.on("error", () => undefined);
    }
    void this.forward(inbound, outbound);
    void this.forward(outbound, inbound);
  }

  private async forward(from: net.Socket, to: net.Socket): Promise<void> {
    try {
      for await (const chunk of from) {
        await this.policy.waitUntilResumed();
        if (!to.write(chunk as Buffer)) await waitForDrain(to);
      }
      to.end();
    } catch {
      to.destroy();
    }
  }
}

function waitForDrain(socket: net.Socket): Promise<void> {
  return new Promise((resolve) => {
    const done = (): void => {
      socket.off("drain", done);
      socket.off("close", done);
      resolve();
    };
    socket.on("drain", done);
    socket.on("close", done);
  });
}
