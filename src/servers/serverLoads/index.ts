import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** A start of a server. */
type ServerStart = Pick<types.ServerEntry, "id" | "bornAtWallMs">;

/** What a VM has learned of a server's load from its answers, as VMs tell each other. */
export interface LoadStatement {
  readonly serverId: string;
  readonly bornAtWallMs: number;
  /** Time of the server's fastest answers. */
  readonly fastMs: number;
  /** Time since it last rejected a call of that VM for lack of room; null if it has not lately. */
  readonly rejectedAgoMs: number | null;
}

/** Calls of one VM to a server, for metrics. */
export interface LoadCounts {
  readonly serverId: string;
  readonly sentCount: number;
  readonly rejectionsCount: number;
}

interface LoadRecord {
  readonly bornAtWallMs: number;
  fastMs: number | null;
  ownRejectedAtMs: number;
  peerRejectedAtMs: number;
  /** Calls sent in the present and in the former interval. */
  rejectionsCount: number;
  sentCount: number;
  formerSentCount: number;
}

/**
 * The load of plain servers as their answers tell: how fast they answer when no calls wait there, which
 * gives each its share of the calls, and where calls were rejected lately. VMs tell each other in the
 * heartbeats that they exchange anyway. A new start of a server knows nothing of the former one.
 */
export class ServerLoads {
  private readonly records = new Map<string, LoadRecord>();
  private intervalStartMs = -Infinity;

  constructor(private readonly clock: clocks.Clock) {}

  /** Records that a call is sent to a server. */
  recordSend(server: ServerStart): void {
    this.startInterval();
    this.getOrCreate(server).sentCount += 1;
  }

  /** Records the time of a good answer. */
  recordAnswer(server: ServerStart, elapsedMs: number): void {
    const record = this.getOrCreate(server);
    record.fastMs = approach(record.fastMs, elapsedMs, {
      downWeight: constants.FASTER_ANSWER_WEIGHT,
      upWeight: constants.SLOWER_ANSWER_WEIGHT,
    });
  }

  /** Records that a server rejected a call of this VM for lack of room. */
  recordRejection(server: ServerStart): void {
    const record = this.getOrCreate(server);
    record.ownRejectedAtMs = this.clock.nowMs();
    record.rejectionsCount += 1;
  }

  /** Records what a peer has learned of a server. */
  recordPeerStatement({ serverId, ...statement }: LoadStatement): void {
    const { bornAtWallMs, fastMs, rejectedAgoMs } = statement;
    if ((this.records.get(serverId)?.bornAtWallMs ?? -Infinity) > bornAtWallMs) return;
    const record = this.getOrCreate({ id: serverId, bornAtWallMs });
    record.fastMs = approach(record.fastMs, fastMs, {
      downWeight: constants.FASTER_ANSWER_WEIGHT,
      upWeight: constants.SLOWER_PEER_WEIGHT,
    });
    if (rejectedAgoMs === null) return;
    const rejectedAtMs = this.clock.nowMs() - rejectedAgoMs;
    record.peerRejectedAtMs = Math.max(record.peerRejectedAtMs, rejectedAtMs);
  }

  /** Lists what this VM tells its peers: a few servers, others each time. */
  listStatements(): readonly LoadStatement[] {
    const nowMs = this.clock.nowMs();
    const statements = [...this.records].flatMap(([serverId, record]): LoadStatement[] => {
      const { bornAtWallMs, fastMs, ownRejectedAtMs } = record;
      if (fastMs === null) return [];
      const agoMs = Math.round(nowMs - ownRejectedAtMs);
      const rejectedAgoMs = agoMs < constants.REJECTION_RETENTION_MS ? agoMs : null;
      return [{ serverId, bornAtWallMs, fastMs: Math.round(fastMs), rejectedAgoMs }];
    });
    const roundsCount = Math.floor(nowMs / constants.LOAD_STATEMENT_INTERVAL_MS);
    const first = statements.length === 0 ? 0 : roundsCount % statements.length;
    return [...statements.slice(first), ...statements.slice(0, first)]
      .sort(
        (left, right) => Number(right.rejectedAgoMs !== null) - Number(left.rejectedAgoMs !== null),
      )
      .slice(0, constants.MAX_LOAD_STATEMENTS_COUNT);
  }

  /** Time of a server's fastest answers; null before the first one. */
  fastMs(serverId: string): number | null {
    return this.records.get(serverId)?.fastMs ?? null;
  }

  /**
   * Share of its usual calls that a server gets after rejections: none of this VM's just after it
   * rejected one, and nine tenths where peers report it; it grows back to 1.
   */
  shareAfterRejections(serverId: string): number {
    const record = this.records.get(serverId);
    if (record === undefined) return 1;
    const nowMs = this.clock.nowMs();
    const ownRatio = (nowMs - record.ownRejectedAtMs) / constants.OWN_REJECTION_MEMORY_MS;
    const peerRatio = (nowMs - record.peerRejectedAtMs) / constants.REJECTION_RETENTION_MS;
    const peerShare = 1 - constants.PEER_REJECTION_REDUCTION * (1 - Math.min(1, peerRatio));
    return Math.min(1, Math.max(0, ownRatio)) * peerShare;
  }

  /** Whether a server has lately rejected a call of this VM or of a peer. */
  hasRejectedLately(serverId: string): boolean {
    const record = this.records.get(serverId);
    if (record === undefined) return false;
    const rejectedAtMs = Math.max(record.ownRejectedAtMs, record.peerRejectedAtMs);
    return this.clock.nowMs() - rejectedAtMs < constants.CONTENTION_RETENTION_MS;
  }

  /** Counts this VM's calls to each server in the last ten to twenty seconds, and rejections since it started. */
  listCounts(): readonly LoadCounts[] {
    this.startInterval();
    return [...this.records].map(([serverId, record]) => {
      const sentCount = record.sentCount + record.formerSentCount;
      return { serverId, sentCount, rejectionsCount: record.rejectionsCount };
    });
  }

  /** Removes the records of all servers except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.records.keys()) {
      if (!serverIds.has(serverId)) this.records.delete(serverId);
    }
  }

  private startInterval(): void {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.intervalStartMs < constants.SEND_COUNT_INTERVAL_MS) return;
    this.intervalStartMs = nowMs;
    for (const record of this.records.values())
      Object.assign(record, { formerSentCount: record.sentCount, sentCount: 0 });
  }

  private getOrCreate({ id, bornAtWallMs }: ServerStart): LoadRecord {
    const known = this.records.get(id);
    if (known?.bornAtWallMs === bornAtWallMs) return known;
    const created: LoadRecord = {
      bornAtWallMs,
      fastMs: null,
      ownRejectedAtMs: -Infinity,
      peerRejectedAtMs: -Infinity,
      rejectionsCount: 0,
      sentCount: 0,
      formerSentCount: 0,
    };
    this.records.set(id, created);
    return created;
  }
}

/** Moves an estimate of the fastest times towards a sample, further if the sample is faster. */
function approach(
  estimateMs: number | null,
  sampleMs: number,
  { downWeight, upWeight }: { readonly downWeight: number; readonly upWeight: number },
): number {
  if (estimateMs === null) return sampleMs;
  const weight = sampleMs < estimateMs ? downWeight : upWeight;
  return estimateMs + weight * (sampleMs - estimateMs);
}
