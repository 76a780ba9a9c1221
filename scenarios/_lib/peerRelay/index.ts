import * as net from "node:net";

/** Says whether bytes may pass between two VMs, and when a held end goes on. */
export interface RelayPolicy {
  isOpen(): boolean;
  /** Resolves when both ends go on. */
  pass(): Promise<void>;
}

const LOOPBACK = "127.0.0.1";

/** Carries one VM's connections to another, so that the way between them can be cut. */
export class PeerRelay implements AsyncDisposable {
  private readonly sockets = new Set<net.Socket>();
  private readonly server: net.Server;

  constructor(
    private readonly targetPort: number,
    private readonly policy: RelayPolicy,
  ) {
    this.server = net.createServer((socket) => this.accept(socket));
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  async open(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, LOOPBACK, resolve));
  }

  /** Breaks every connection that is open now. */
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
    void this.carry(inbound, outbound);
    void this.carry(outbound, inbound);
  }

  private async carry(from: net.Socket, to: net.Socket): Promise<void> {
    try {
      for await (const chunk of from) {
        await this.policy.pass();
        if (!to.write(chunk as Buffer)) await drained(to);
      }
      to.end();
    } catch {
      to.destroy();
    }
  }
}

function drained(socket: net.Socket): Promise<void> {
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
