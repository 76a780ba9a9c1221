import * as lruCache from "lru-cache";

import type * as clocks from "../../_lib/clock/index.js";
import * as suspectRecords from "../_lib/suspectRecord/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Called when a suspect becomes blamed, or is no longer. */
export type BlameListener = (
  suspect: types.Suspect,
  ends: readonly types.ServerEnd[],
  isBlamed: boolean,
) => void;

/**
 * Attributes ends of servers to what the work on them has in common, as all VMs observe it. A
 * suspect is blamed if several servers ended under it and no run with it survived in between. Work
 * that crashes servers does so each time, so that one survival refutes all ends before it.
 */
export class CrashLedger {
  private readonly records: lruCache.LRUCache<string, suspectRecords.SuspectRecord>;
  private readonly blamedKeys = new Set<string>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly onBlameChange: BlameListener = () => undefined,
  ) {
    this.records = new lruCache.LRUCache({
      max: constants.MAX_SUSPECTS_COUNT,
      dispose: (_record, key) => void this.blamedKeys.delete(key),
    });
  }

  /** Number of suspects that are remembered. */
  get suspectsCount(): number {
    return this.records.size;
  }

  /** Number of blamed suspects. */
  get blamedCount(): number {
    return this.blamedKeys.size;
  }

  /** Records the end of a server under work; returns what the other VMs have to learn. */
  recordEnd(
    suspects: readonly types.Suspect[],
    end: types.ServerEnd,
  ): readonly types.SuspectReport[] {
    const recorded = suspects.slice(0, constants.MAX_SUSPECTS_PER_RUN_COUNT);
    const changed = recorded.map((suspect) => this.getOrCreate(suspect));
    const added = changed.filter((record) => record.addEnd(end));
    for (const record of added) this.updateBlame(record);
    const nowMs = this.clock.nowMs();
    const ends = [suspectRecords.toReportedEnd(end, nowMs)];
    return added.map((record) => ({ ...record.toReport(nowMs), ends }));
  }

  /** Records that a run survived its start; returns what the other VMs have to learn. */
  recordSurvival(suspects: readonly types.Suspect[]): readonly types.SuspectReport[] {
    const nowMs = this.clock.nowMs();
    const known = suspects.map((suspect) => this.records.peek(toId(suspect)));
    const cleared = known.filter((record) => record?.clear(nowMs) === true);
    return cleared.flatMap((record) => {
      if (record === undefined) return [];
      this.updateBlame(record);
      return [record.toReport(nowMs)];
    });
  }

  /** Merges what a peer knows. */
  applyReports(reports: readonly types.SuspectReport[]): void {
    const nowMs = this.clock.nowMs();
    for (const { kind, key, clearedAgeMs, trialAgeMs, ends } of reports) {
      const record = this.getOrCreate({ kind, key });
      if (clearedAgeMs !== null) record.clear(nowMs - clearedAgeMs);
      if (trialAgeMs !== null) record.startTrial(nowMs - trialAgeMs);
      for (const end of ends) record.addEnd(suspectRecords.fromReportedEnd(end, nowMs));
      this.updateBlame(record);
    }
  }

  /** Lists what this VM knows of the most recently changed suspects. */
  listReports(): readonly types.SuspectReport[] {
    const nowMs = this.clock.nowMs();
    return [...this.records.values()]
      .sort((left, right) => right.changedAtMs - left.changedAtMs)
      .slice(0, constants.MAX_SUMMARY_SUSPECTS_COUNT)
      .map((record) => record.toReport(nowMs));
  }

  /** Lists what this VM knows of blamed suspects: of the given ones, or of all. */
  listBlamed(suspects?: readonly types.Suspect[]): readonly types.SuspectReport[] {
    const ids = suspects?.map(toId).filter((id) => this.blamedKeys.has(id)) ?? this.blamedKeys;
    const records = [...ids].flatMap((id) => this.records.peek(id) ?? []);
    return records.map((record) => record.toReport(this.clock.nowMs()));
  }

  /** Returns why work must not be sent; null if it may be, also as a trial. */
  findBlame(suspects: readonly types.Suspect[]): types.Blame | null {
    if (this.blamedKeys.size === 0) return null;
    const blamed = this.listBlamedRecords(suspects);
    if (blamed.length === 0) return null;
    const alternatives = this.listAlternatives(suspects);
    const barred = blamed.filter((record) => !this.isTrialDue(record, alternatives));
    const waits = barred.map((record) => this.createBlame(record, alternatives));
    return waits.sort((left, right) => right.retryAfterMs - left.retryAfterMs)[0] ?? null;
  }

  /** Starts a trial of work with blamed suspects that may be sent; returns what the peers have to learn. */
  startTrial(suspects: readonly types.Suspect[]): readonly types.SuspectReport[] {
    if (this.blamedKeys.size === 0) return [];
    const nowMs = this.clock.nowMs();
    return this.listBlamedRecords(suspects).map((record) => {
      record.startTrial(nowMs);
      return { ...record.toReport(nowMs), ends: [] };
    });
  }

  /** Forgets the suspects that have not changed for long. Has to be called periodically. */
  sweep(): void {
    const oldestMs = this.clock.nowMs() - constants.SUSPECT_RETENTION_MS;
    for (const [id, record] of this.records.entries()) {
      if (record.changedAtMs < oldestMs) this.records.delete(id);
    }
  }

  private listBlamedRecords(
    suspects: readonly types.Suspect[],
  ): readonly suspectRecords.SuspectRecord[] {
    const ids = suspects.map(toId).filter((id) => this.blamedKeys.has(id));
    return ids.flatMap((id) => this.records.peek(id) ?? []);
  }

  /** Lists the blamed suspects that a request does not have. */
  private listAlternatives(
    suspects: readonly types.Suspect[],
  ): readonly suspectRecords.SuspectRecord[] {
    const ids = new Set(suspects.map(toId));
    return [...this.blamedKeys]
      .filter((id) => !ids.has(id))
      .flatMap((id) => this.records.peek(id) ?? []);
  }

  private isTrialDue(
    record: suspectRecords.SuspectRecord,
    alternatives: readonly suspectRecords.SuspectRecord[],
  ): boolean {
    const nowMs = this.clock.nowMs();
    if (record.isOnTrial(nowMs)) return false;
    return record.isExplainedBy(alternatives) || nowMs >= record.trialDueAtMs;
  }

  private createBlame(
    record: suspectRecords.SuspectRecord,
    alternatives: readonly suspectRecords.SuspectRecord[],
  ): types.Blame {
    const { suspect, endsCount } = record;
    const isClearedSoon = record.isExplainedBy(alternatives);
    const untilTrialMs = record.trialDueAtMs - this.clock.nowMs();
    const retryAfterMs = isClearedSoon
      ? constants.TRIAL_RETRY_AFTER_MS
      : Math.max(constants.TRIAL_RETRY_AFTER_MS, Math.ceil(untilTrialMs));
    return { suspect, endsCount, retryAfterMs };
  }

  private getOrCreate(suspect: types.Suspect): suspectRecords.SuspectRecord {
    const id = toId(suspect);
    const known = this.records.get(id);
    if (known !== undefined) return known;
    const created = new suspectRecords.SuspectRecord({ kind: suspect.kind, key: suspect.key });
    this.records.set(id, created);
    return created;
  }

  private updateBlame(record: suspectRecords.SuspectRecord): void {
    const id = toId(record.suspect);
    const { isBlamed, suspect, ends } = record;
    if (this.blamedKeys.has(id) === isBlamed) return;
    if (isBlamed) this.blamedKeys.add(id);
    else this.blamedKeys.delete(id);
    this.onBlameChange(suspect, ends, isBlamed);
  }
}

function toId({ kind, key }: types.Suspect): string {
  return `${kind}:${key}`;
}
