import * as net from "node:net";

import * as serverLinks from "../../../src/serverLinks/index.js";

/** What becomes of new connections to servers from a VM that is cut off from them. */
export enum CutMode {
  Refuse = "refuse",
  Hang = "hang",
}

/** How a VM is cut off from all servers. */
export interface Cut {
  readonly mode: CutMode;
  /** Whether connections that are open are reset; otherwise they live on. */
  readonly resetsOpen: boolean;
}

/** A port on which nothing listens. */
const CLOSED_PORT = 1;

/** The network between VMs and backend servers, from which tests cut VMs off. */
export class ServerNetwork {
  private readonly cuts = new Map<string, Cut>();
  private readonly mutedVms = new Set<string>();
  /** Accepts connections and never answers. */
  private readonly muteServer = net.createServer((socket) => {
    socket.on("error", () => undefined);
    socket.resume();
  });
  private readonly sockets = new Map<string, Set<net.Socket>>();

  /** Cuts a VM off from all servers until it is healed. */
  cut(vmName: string, cut: Cut): void {
    this.cuts.set(vmName, cut);
    if (!cut.resetsOpen) return;
    const reset = Object.assign(new Error("read ECONNRESET"), { code: "ECONNRESET" });
    for (const socket of this.sockets.get(vmName) ?? []) socket.destroy(reset);
  }

  /** Starts to listen for the connections of VMs towards which servers are silent. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.muteServer.listen(0, "127.0.0.1", resolve));
    this.muteServer.unref();
  }

  /** Lets all servers accept a VM's new connections, and answer nothing on them. */
  mute(vmName: string): void {
    this.mutedVms.add(vmName);
  }

  /** Ends the cut of a VM. */
  heal(vmName: string): void {
    this.cuts.delete(vmName);
  }

  private get muteAddress(): serverLinks.Address {
    const { address, port } = this.muteServer.address() as net.AddressInfo;
    return { host: address, port };
  }

  /** Returns how a VM opens connections to servers. */
  dialFrom(vmName: string): serverLinks.Dial {
    return (address) => {
      const cut = this.cuts.get(vmName);
      if (cut?.mode === CutMode.Hang) return new net.Socket();
      if (this.mutedVms.has(vmName)) return serverLinks.dialTcp(this.muteAddress);
      const port = cut === undefined ? address.port : CLOSED_PORT;
      const socket = serverLinks.dialTcp({ host: address.host, port });
      const opened = this.sockets.get(vmName) ?? new Set();
      this.sockets.set(vmName, opened.add(socket));
      socket.once("close", () => opened.delete(socket));
      return socket;
    };
  }
}
