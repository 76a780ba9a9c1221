import type * as dispatch from "../../../dispatch/index.js";
import type * as types from "../../types.js";
import * as callDemandCodec from "../callDemandCodec/index.js";
import * as claimCodec from "../claimCodec/index.js";
import * as datagrams from "../datagrams/index.js";
import * as waitingCodec from "../waitingCodec/index.js";

const { DatagramKind } = datagrams;

/** Most claims or waiting generations in one message; a larger summary is sent in several. */
const MAX_ENTRIES_PER_DATAGRAM = 12;

/** Dependencies of the work exchange. */
export interface WorkContext {
  readonly self: types.MeshIdentity;
  readonly claims: dispatch.ClaimTable;
  /** Generations that wait at other VMs. */
  readonly fleetQueue: dispatch.FleetQueue;
  /** Lists the generations that wait at this VM. */
  readonly listOwnWaiting: () => readonly dispatch.FleetWaiting[];
  /** Called with a peer's demand for a plain service that is short of room. */
  readonly onCallDemand?: (vmName: string, report: dispatch.CallDemandReport) => void;
  /** Called after an update of a peer's claims, and after generations stopped waiting at a peer. */
  readonly onWorkChange: () => void;
}

/** A number of entries by their kind, in the form of a labelled gauge. */
export interface EntriesCount {
  readonly labels: Readonly<Record<"kind", string>>;
  readonly value: number;
}

/** Sends this VM's claims and waiting generations to the peers, and applies theirs. */
export class WorkExchange implements dispatch.WorkBroadcast {
  constructor(
    private readonly context: WorkContext,
    private readonly broadcast: (message: Buffer) => void,
  ) {}

  announceClaim(claim: dispatch.Claim): void {
    this.sendClaims([claim], []);
  }

  announceRelease(requestId: string, role: dispatch.ClaimRole): void {
    this.sendClaims([], [[requestId, claimCodec.encodeRole(role)]]);
  }

  announceWaiting(waiting: dispatch.FleetWaiting): void {
    this.sendWaiting([waiting], []);
  }

  announceWaitingEnd(requestId: string): void {
    this.sendWaiting([], [requestId]);
  }

  /** Sends this VM's demand for a plain service that is short of room. */
  announceCallDemand(report: dispatch.CallDemandReport): void {
    const { vmName, startedAtWallMs } = this.context.self;
    const kind = DatagramKind.Waiting;
    const callDemand = callDemandCodec.encodeCallDemand(report);
    // Earlier releases read a message without any generation.
    const message = { kind, vmName, startedAtWallMs, callDemand } as const;
    this.broadcast(datagrams.encodeDatagram({ ...message, put: [], removedIds: [] }));
  }

  /** Sends all claims and waiting generations of this VM again, since datagrams may be lost. */
  sendSummary(): void {
    const claims = this.context.claims.listByVm(this.context.self.vmName);
    for (const part of splitIntoParts(claims)) this.sendClaims(part, []);
    for (const part of splitIntoParts(this.context.listOwnWaiting())) this.sendWaiting(part, []);
  }

  /** Applies claims that a peer has made or released. */
  onClaims(message: datagrams.Claims): void {
    const { claims } = this.context;
    for (const claim of claimCodec.decodeClaims(message)) claims.putOfPeer(claim);
    for (const [requestId, role] of message.released) {
      claims.release(requestId, claimCodec.decodeRole(role));
    }
    this.context.onWorkChange();
  }

  /** Applies a peer's update of the generations that wait at it. */
  onWaiting(message: datagrams.Waiting): void {
    const { fleetQueue } = this.context;
    for (const waiting of waitingCodec.decodeAllWaiting(message)) fleetQueue.put(waiting);
    for (const requestId of message.removedIds) fleetQueue.remove(requestId);
    const { vmName, callDemand } = message;
    if (callDemand !== undefined)
      this.context.onCallDemand?.(vmName, callDemandCodec.decodeCallDemand(callDemand));
    if (message.removedIds.length > 0) this.context.onWorkChange();
  }

  /** Removes the claims and the waiting generations of a VM that left, failed or restarted. */
  dropVm(vmName: string): void {
    this.context.claims.dropVm(vmName);
    this.context.fleetQueue.dropVm(vmName);
  }

  /** Number of claims that other VMs have made and that are known. */
  get peerClaimsCount(): number {
    return this.context.claims.peerClaims.count;
  }

  /** Numbers of entries of other VMs that were turned away since the start, as there were too many. */
  listTurnedAway(): readonly EntriesCount[] {
    const { claims, fleetQueue } = this.context;
    return [
      { labels: { kind: "claims" }, value: claims.peerClaims.turnedAwayCount },
      { labels: { kind: "waiting" }, value: fleetQueue.turnedAwayCount },
    ];
  }

  private sendClaims(put: readonly dispatch.Claim[], released: datagrams.Claims["released"]): void {
    const { vmName, startedAtWallMs } = this.context.self;
    const kind = DatagramKind.Claims;
    const encoded = put.map(claimCodec.encodeClaim);
    const message = { kind, vmName, startedAtWallMs, put: encoded, released } as const;
    this.broadcast(datagrams.encodeDatagram({ ...message, ...claimCodec.encodeOrigins(put) }));
  }

  private sendWaiting(put: readonly dispatch.FleetWaiting[], removedIds: string[]): void {
    const { vmName, startedAtWallMs } = this.context.self;
    const kind = DatagramKind.Waiting;
    const encoded = put.map(waitingCodec.encodeWaiting);
    const message = { kind, vmName, startedAtWallMs, put: encoded, removedIds } as const;
    this.broadcast(datagrams.encodeDatagram({ ...message, ...waitingCodec.encodeAccounts(put) }));
  }
}

function* splitIntoParts<T>(entries: readonly T[]): Generator<readonly T[]> {
  for (let index = 0; index < entries.length; index += MAX_ENTRIES_PER_DATAGRAM) {
    yield entries.slice(index, index + MAX_ENTRIES_PER_DATAGRAM);
  }
}
