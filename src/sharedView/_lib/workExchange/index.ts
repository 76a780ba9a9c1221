import type * as dispatch from "../../../dispatch/index.js";
import type * as types from "../../types.js";
import * as claimCodec from "../claimCodec/index.js";
import * as datagrams from "../datagrams/index.js";
import * as waitingCodec from "../waitingCodec/index.js";

const { DatagramKind } = datagrams;

/** Entries of one message; larger sets are told in several. */
const MAX_ENTRIES_PER_DATAGRAM = 12;

/** What the exchange of work works with. */
export interface WorkContext {
  readonly self: types.MeshIdentity;
  readonly claims: dispatch.ClaimTable;
  /** What waits at the other VMs. */
  readonly board: dispatch.WaitingBoard;
  /** What waits at this VM. */
  readonly ownWaiting: () => readonly dispatch.FleetWaiting[];
  /** Called after claims of other VMs have changed, or what waits there. */
  readonly onWorkChange: () => void;
}

/** Tells the peers of this VM's claims and of what waits here, and takes in theirs. */
export class WorkExchange implements dispatch.WorkBroadcast {
  constructor(
    private readonly context: WorkContext,
    private readonly broadcast: (message: Buffer) => void,
  ) {}

  put(claim: dispatch.Claim): void {
    this.tellClaims([claim], []);
  }

  release(requestId: string, role: dispatch.ClaimRole): void {
    this.tellClaims([], [[requestId, claimCodec.encodeRole(role)]]);
  }

  putWaiting(waiting: dispatch.FleetWaiting): void {
    this.tellWaiting([waiting], []);
  }

  removeWaiting(requestId: string): void {
    this.tellWaiting([], [requestId]);
  }

  /** Tells of everything again, since messages get lost. */
  sendSummary(): void {
    const claims = this.context.claims.ofVm(this.context.self.vmName);
    for (const part of partsOf(claims)) this.tellClaims(part, []);
    for (const part of partsOf(this.context.ownWaiting())) this.tellWaiting(part, []);
  }

  /** A peer has taken claims or given them back. */
  onClaims({ vmName, put, released }: datagrams.Claims): void {
    const { claims } = this.context;
    for (const encoded of put) claims.put(claimCodec.decodeClaim(vmName, encoded));
    for (const [requestId, role] of released) {
      claims.release(requestId, claimCodec.decodeRole(role));
    }
    this.context.onWorkChange();
  }

  /** Generations wait at a peer, or wait no more. */
  onWaiting({ vmName, put, removedIds }: datagrams.Waiting): void {
    const { board } = this.context;
    for (const encoded of put) board.put(waitingCodec.decodeWaiting(vmName, encoded));
    for (const requestId of removedIds) board.remove(requestId);
    if (removedIds.length > 0) this.context.onWorkChange();
  }

  /** A VM is gone, and its work with it. */
  dropVm(vmName: string): void {
    this.context.claims.dropVm(vmName);
    this.context.board.dropVm(vmName);
  }

  private tellClaims(put: readonly dispatch.Claim[], released: datagrams.Claims["released"]): void {
    const { vmName, startedAtWallMs } = this.context.self;
    const kind = DatagramKind.Claims;
    const encoded = put.map(claimCodec.encodeClaim);
    this.broadcast(
      datagrams.encodeDatagram({ kind, vmName, startedAtWallMs, put: encoded, released }),
    );
  }

  private tellWaiting(put: readonly dispatch.FleetWaiting[], removedIds: string[]): void {
    const { vmName, startedAtWallMs } = this.context.self;
    const kind = DatagramKind.Waiting;
    const encoded = put.map(waitingCodec.encodeWaiting);
    this.broadcast(
      datagrams.encodeDatagram({ kind, vmName, startedAtWallMs, put: encoded, removedIds }),
    );
  }
}

function* partsOf<T>(entries: readonly T[]): Generator<readonly T[]> {
  for (let index = 0; index < entries.length; index += MAX_ENTRIES_PER_DATAGRAM) {
    yield entries.slice(index, index + MAX_ENTRIES_PER_DATAGRAM);
  }
}
