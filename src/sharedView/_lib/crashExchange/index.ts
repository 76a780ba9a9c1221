import type * as crashes from "../../../crashes/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as datagrams from "../datagrams/index.js";
import * as suspectCodec from "../suspectCodec/index.js";

/** Dependencies of the crash exchange. */
export interface CrashExchangeContext {
  readonly vmName: string;
  readonly livePeers: () => readonly types.VmAddress[];
  readonly send: (message: Buffer, to: types.VmAddress) => void;
  /** Lists what this VM knows of suspects. */
  readonly listReports: () => readonly crashes.SuspectReport[];
  /** Called with what a peer knows. */
  readonly onReports: (reports: readonly crashes.SuspectReport[]) => void;
}

/**
 * Tells the peers what work has ended servers. Changes are broadcast at once. As datagrams may be
 * lost, a summary goes to a few peers in turn, and to each VM that starts or that was cut off.
 */
export class CrashExchange {
  private summariesCount = 0;

  constructor(private readonly context: CrashExchangeContext) {}

  /** Sends changes to all live peers. */
  announce(reports: readonly crashes.SuspectReport[]): void {
    for (const message of this.encode(reports)) {
      for (const peer of this.context.livePeers()) this.context.send(message, peer);
    }
  }

  /** Sends all that this VM knows to one peer. */
  sendSummary(to: types.VmAddress): void {
    for (const message of this.encode(this.context.listReports())) this.context.send(message, to);
  }

  /** Sends all that this VM knows to the peers whose turn it is. */
  sendDueSummaries(): void {
    const peers = this.context.livePeers();
    const count = Math.min(peers.length, constants.CRASH_SUMMARY_PEERS_COUNT);
    for (let index = 0; index < count; index += 1) {
      const peer = peers[this.summariesCount % peers.length];
      this.summariesCount += 1;
      if (peer !== undefined) this.sendSummary(peer);
    }
  }

  /** Handles a message of a peer. */
  receive({ suspects }: datagrams.Crashes): void {
    this.context.onReports(suspectCodec.decodeSuspects(suspects));
  }

  private *encode(reports: readonly crashes.SuspectReport[]): Generator<Buffer> {
    const { vmName } = this.context;
    const kind = datagrams.DatagramKind.Crashes;
    for (let index = 0; index < reports.length; index += constants.SUSPECTS_PER_DATAGRAM_COUNT) {
      const part = reports.slice(index, index + constants.SUSPECTS_PER_DATAGRAM_COUNT);
      const suspects = part.map(suspectCodec.encodeSuspect);
      yield datagrams.encodeDatagram({ kind, vmName, suspects });
    }
  }
}
