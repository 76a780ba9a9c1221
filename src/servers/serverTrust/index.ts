import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

interface TrustRecord {
  failureRatio: number;
  typicalMs: number | null;
  servedAtMs: number;
  suspensionMs: number;
  suspendedUntilMs: number;
}

/** Servers of a data centre that could not be reached since any of its servers last answered. */
interface ReachabilityRecord {
  readonly failedIds: Set<string>;
  failedAtMs: number;
}

type VerdictHandler = (record: TrustRecord, nowMs: number) => void;

const VERDICT_HANDLERS: Readonly<Record<types.AttemptVerdict, VerdictHandler>> = {
  [types.AttemptVerdict.Served]: (record) => {
    recordOutcome(record, 0);
    record.suspensionMs = 0;
    record.suspendedUntilMs = 0;
  },
  [types.AttemptVerdict.Refused]: () => undefined,
  [types.AttemptVerdict.Failed]: (record) => recordOutcome(record, 1),
  [types.AttemptVerdict.Broken]: (record, nowMs) => {
    recordOutcome(record, 1);
    if (record.failureRatio > BROKEN_SUSPENSION_RATIO) suspend(record, nowMs);
  },
  [types.AttemptVerdict.Unreachable]: (record, nowMs) => {
    recordOutcome(record, 1);
    suspend(record, nowMs);
  },
};

/** Failure ratio above which a server is suspended when an attempt ends as `Broken`. */
const BROKEN_SUSPENSION_RATIO = 0.3;

/**
 * Tracks failures, answer times and suspensions of servers and suspected network partitions, from
 * the outcomes of this VM's attempts.
 */
export class ServerTrust {
  private readonly records = new Map<string, TrustRecord>();
  private readonly reachabilityByDataCentre = new Map<string, ReachabilityRecord>();

  /**
   * @param isSilent - whether this VM receives no messages from the VMs of a data centre
   * @param onOutcome - is called with each outcome
   */
  constructor(
    private readonly clock: clocks.Clock,
    private readonly isSilent: (dataCentre: string) => boolean = () => false,
    private readonly onOutcome: (serverId: string, verdict: types.AttemptVerdict) => void = () =>
      undefined,
  ) {}

  /**
   * Records the outcome of an attempt.
   *
   * @param elapsedMs - time to the answer or its first event; used only if the attempt was served
   */
  recordOutcome(
    server: Pick<types.ServerEntry, "id" | "dataCentre">,
    verdict: types.AttemptVerdict,
    elapsedMs: number,
  ): void {
    const record = this.getOrCreateRecord(server.id);
    this.onOutcome(server.id, verdict);
    this.recordReachability(server, verdict);
    VERDICT_HANDLERS[verdict](record, this.clock.nowMs());
    if (verdict !== types.AttemptVerdict.Served) return;
    record.servedAtMs = this.clock.nowMs();
    const previousMs = record.typicalMs ?? elapsedMs;
    record.typicalMs = previousMs + constants.LATENCY_WEIGHT * (elapsedMs - previousMs);
  }

  /** Moving average of the share of failures among a server's outcomes, from 0 to 1. */
  failureRatio(serverId: string): number {
    return this.records.get(serverId)?.failureRatio ?? 0;
  }

  /** Moving average of a server's answer time in milliseconds; null before the first answer. */
  typicalMs(serverId: string): number | null {
    return this.records.get(serverId)?.typicalMs ?? null;
  }

  /** The moving average of a server's answer time; null if this VM had no answer lately, and it may have changed. */
  recentMs(serverId: string): number | null {
    const record = this.records.get(serverId);
    if (record === undefined) return null;
    const isRecent = this.clock.nowMs() - record.servedAtMs < constants.RECENT_ANSWER_MS;
    return isRecent ? record.typicalMs : null;
  }

  /** Whether a server is suspended after failed connections or incomplete answers. */
  isSuspended(serverId: string): boolean {
    return (this.records.get(serverId)?.suspendedUntilMs ?? 0) > this.clock.nowMs();
  }

  /**
   * Whether a network partition to a data centre is suspected: its VMs are silent, or connections
   * to several of its servers have failed recently and none of its servers has answered since.
   */
  isPartitionSuspected(dataCentre: string): boolean {
    if (this.isSilent(dataCentre)) return true;
    const reachability = this.reachabilityByDataCentre.get(dataCentre);
    if (
      reachability === undefined ||
      reachability.failedIds.size < constants.PARTITION_SERVERS_COUNT
    )
      return false;
    return this.clock.nowMs() < reachability.failedAtMs + constants.PARTITION_SUSPICION_MS;
  }

  /** Removes the records of all servers except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.records.keys()) {
      if (!serverIds.has(serverId)) this.records.delete(serverId);
    }
  }

  private recordReachability(
    server: Pick<types.ServerEntry, "id" | "dataCentre">,
    verdict: types.AttemptVerdict,
  ): void {
    if (verdict === types.AttemptVerdict.Broken) return;
    if (verdict !== types.AttemptVerdict.Unreachable) {
      this.reachabilityByDataCentre.delete(server.dataCentre);
      return;
    }
    const reachability = this.reachabilityByDataCentre.get(server.dataCentre) ?? {
      failedIds: new Set(),
      failedAtMs: 0,
    };
    reachability.failedIds.add(server.id);
    reachability.failedAtMs = this.clock.nowMs();
    this.reachabilityByDataCentre.set(server.dataCentre, reachability);
  }

  private getOrCreateRecord(serverId: string): TrustRecord {
    const known = this.records.get(serverId);
    if (known !== undefined) return known;
    const created = {
      failureRatio: 0,
      typicalMs: null,
      servedAtMs: -Infinity,
      suspensionMs: 0,
      suspendedUntilMs: 0,
    };
    this.records.set(serverId, created);
    return created;
  }
}

function recordOutcome(record: TrustRecord, failure: 0 | 1): void {
  record.failureRatio += constants.FAILURE_RATIO_WEIGHT * (failure - record.failureRatio);
}

function suspend(record: TrustRecord, nowMs: number): void {
  const doubledMs = Math.max(constants.MIN_SUSPENSION_MS, record.suspensionMs * 2);
  record.suspensionMs = Math.min(constants.MAX_SUSPENSION_MS, doubledMs);
  record.suspendedUntilMs = nowMs + record.suspensionMs;
}
