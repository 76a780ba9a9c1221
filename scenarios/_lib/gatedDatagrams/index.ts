import type * as fleet from "../../../src/fleet/types.js";
import type * as gatedPlatform from "../gatedPlatform/index.js";
import type * as linkTables from "../linkTable/index.js";

/** Finds the VM that has a heartbeat port. */
export type FindPartyByPort = (port: number) => linkTables.Party | undefined;

/**
 * A VM's datagram socket. Drops datagrams between partitioned VMs; a paused VM receives its
 * datagrams after it has resumed.
 */
export class GatedDatagramSocket implements fleet.DatagramSocket {
  constructor(
    private readonly socket: fleet.DatagramSocket,
    private readonly link: gatedPlatform.VmLinks,
    private readonly findPartyByPort: FindPartyByPort,
  ) {}

  send(bytes: Uint8Array, address: string, port: number): void {
    if (this.isOpenTo(port)) this.socket.send(bytes, address, port);
  }

  onMessage(listener: (bytes: Uint8Array, address: string, port: number) => void): Disposable {
    return this.socket.onMessage((bytes, address, port) => {
      if (!this.isOpenTo(port)) return;
      if (!this.link.gate.isPaused) {
        listener(bytes, address, port);
        return;
      }
      void this.link.gate.waitUntilResumed().then(() => listener(bytes, address, port));
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.socket[Symbol.asyncDispose]();
  }

  private isOpenTo(port: number): boolean {
    const { gate, links, self } = this.link;
    const other = this.findPartyByPort(port);
    return !gate.isDead && (other === undefined || !links.isPartitioned(self, other));
  }
}
