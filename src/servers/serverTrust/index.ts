import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

interface TrustRecord {
  failureRatio: number;
  typicalMs: number | null;
  suspensionMs: number;
  suspendedUntilMs: number;
}

/** Servers of a data centre that could not be reached since one of it answered. */
interface DataCentreReach {
  readonly failedIds: Set<string>;
  failedAtMs: number;
}

type Judgement = (record: TrustRecord, nowMs: number) => void;

const JUDGEMENTS: Readonly<Record<types.AttemptVerdict, Judgement>> = {
  [types.AttemptVerdict.Served]: (record) => {
    noteOutcome(record, 0);
    record.suspensionMs = 0;
    record.suspendedUntilMs = 0;
  },
  [types.AttemptVerdict.Refused]: () => undefined,
  [types.AttemptVerdict.Failed]: (record) => noteOutcome(record, 1),
  [types.AttemptVerdict.Broken]: (record, nowMs) => {
    noteOutcome(record, 1);
    if (record.failureRatio > BROKEN_RATIO) suspend(record, nowMs);
  },
  [types.AttemptVerdict.Unreachable]: (record, nowMs) => {
    noteOutcome(record, 1);
    suspend(record, nowMs);
  },
};

/** Share of failures past which a server that breaks off answers is left alone for a while. */
const BROKEN_RATIO = 0.3;

/** What servers' own answers say about them; it goes before what their health probes say. */
export class ServerTrust {
  private readonly records = new Map<string, TrustRecord>();
  private readonly reaches = new Map<string, DataCentreReach>();

  /**
   * @param isSilent - whether the VMs of a data centre have fallen silent
   */
  constructor(
    private readonly clock: clocks.Clock,
    private readonly isSilent: (dataCentre: string) => boolean = () => false,
  ) {}

  /**
   * Takes in how an attempt ended.
   *
   * @param elapsedMs - time to the answer, or to its first event
   */
  note(
    server: Pick<types.ServerEntry, "id" | "dataCentre">,
    verdict: types.AttemptVerdict,
    elapsedMs: number,
  ): void {
    const record = this.recordOf(server.id);
    this.noteDataCentre(server, verdict);
    JUDGEMENTS[verdict](record, this.clock.nowMs());
    if (verdict !== types.AttemptVerdict.Served) return;
    const previousMs = record.typicalMs ?? elapsedMs;
    record.typicalMs = previousMs + constants.LATENCY_WEIGHT * (elapsedMs - previousMs);
  }

  /** Share of the last answers that were failures, from 0 to 1. */
  failureRatio(serverId: string): number {
    return this.records.get(serverId)?.failureRatio ?? 0;
  }

  /** Typical time of an answer in milliseconds; null before the first. */
  typicalMs(serverId: string): number | null {
    return this.records.get(serverId)?.typicalMs ?? null;
  }

  /** Whether the server is left alone for now, since it could not be reached. */
  isSuspended(serverId: string): boolean {
    return (this.records.get(serverId)?.suspendedUntilMs ?? 0) > this.clock.nowMs();
  }

  /**
   * Whether the way to a data centre is likely cut: its VMs are silent, or connections to several
   * of its servers have just failed and none since then was answered.
   */
  isSuspected(dataCentre: string): boolean {
    if (this.isSilent(dataCentre)) return true;
    const reach = this.reaches.get(dataCentre);
    if (reach === undefined || reach.failedIds.size < constants.CUT_SERVERS_COUNT) return false;
    return this.clock.nowMs() < reach.failedAtMs + constants.CUT_SUSPICION_MS;
  }

  /** Forgets servers that are gone. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const serverId of this.records.keys()) {
      if (!serverIds.has(serverId)) this.records.delete(serverId);
    }
  }

  private noteDataCentre(
    server: Pick<types.ServerEntry, "id" | "dataCentre">,
    verdict: types.AttemptVerdict,
  ): void {
    if (verdict === types.AttemptVerdict.Broken) return;
    if (verdict !== types.AttemptVerdict.Unreachable) {
      this.reaches.delete(server.dataCentre);
      return;
    }
    const reach = this.reaches.get(server.dataCentre) ?? { failedIds: new Set(), failedAtMs: 0 };
    reach.failedIds.add(server.id);
    reach.failedAtMs = this.clock.nowMs();
    this.reaches.set(server.dataCentre, reach);
  }

  private recordOf(serverId: string): TrustRecord {
    const known = this.records.get(serverId);
    if (known !== undefined) return known;
    const created = { failureRatio: 0, typicalMs: null, suspensionMs: 0, suspendedUntilMs: 0 };
    this.records.set(serverId, created);
    return created;
  }
}

function noteOutcome(record: TrustRecord, failure: 0 | 1): void {
  record.failureRatio += constants.FAILURE_RATIO_WEIGHT * (failure - record.failureRatio);
}

function suspend(record: TrustRecord, nowMs: number): void {
  const doubledMs = Math.max(constants.MIN_SUSPENSION_MS, record.suspensionMs * 2);
  record.suspensionMs = Math.min(constants.MAX_SUSPENSION_MS, doubledMs);
  record.suspendedUntilMs = nowMs + record.suspensionMs;
}
