import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** What a VM knows of one suspect. Survival of a run refutes all ends before it. */
export class SuspectRecord {
  private readonly endsByStart = new Map<string, types.ServerEnd>();
  private clearedAtMs = -Infinity;
  private trialStartedAtMs = -Infinity;

  constructor(readonly suspect: types.Suspect) {}

  /** Ends of servers since the last survival, in order of time. */
  get ends(): readonly types.ServerEnd[] {
    return [...this.endsByStart.values()].sort((left, right) => left.endedAtMs - right.endedAtMs);
  }

  /** Number of servers that ended since the last survival. */
  get endsCount(): number {
    return this.endsByStart.size;
  }

  /** When anything last changed. */
  get changedAtMs(): number {
    return Math.max(this.clearedAtMs, this.trialStartedAtMs, this.lastEndedAtMs);
  }

  /** Whether enough servers ended, one after another, under runs none of which survived. */
  get isBlamed(): boolean {
    let count = 0;
    let countedAtMs = -Infinity;
    for (const { sentAtMs, endedAtMs } of this.ends) {
      // Work that was sent after an end did not share its cause.
      const isCommonCause =
        sentAtMs < countedAtMs && endedAtMs - countedAtMs < constants.COMMON_CAUSE_MS;
      if (isCommonCause) continue;
      countedAtMs = endedAtMs;
      count += 1;
    }
    return count >= constants.BLAME_ENDS_COUNT;
  }

  /** Adds the end of a server; returns whether it is new and not refuted by a later survival. */
  addEnd(end: types.ServerEnd): boolean {
    const start = `${end.serverId}@${end.bornAtWallMs}`;
    if (end.endedAtMs <= this.clearedAtMs || this.endsByStart.has(start)) return false;
    this.endsByStart.set(start, end);
    if (this.endsByStart.size > constants.MAX_ENDS_COUNT) {
      const [oldest] = this.ends;
      if (oldest !== undefined)
        this.endsByStart.delete(`${oldest.serverId}@${oldest.bornAtWallMs}`);
    }
    return true;
  }

  /** Records that a run survived; returns whether that refutes any end. */
  clear(atMs: number): boolean {
    this.clearedAtMs = Math.max(this.clearedAtMs, atMs);
    const countBefore = this.endsByStart.size;
    for (const [start, { endedAtMs }] of this.endsByStart) {
      if (endedAtMs <= atMs) this.endsByStart.delete(start);
    }
    return this.endsByStart.size < countBefore;
  }

  /** Records the start of a trial. */
  startTrial(atMs: number): void {
    this.trialStartedAtMs = Math.max(this.trialStartedAtMs, atMs);
  }

  /** Whether a trial has started whose outcome may still become known. */
  isOnTrial(nowMs: number): boolean {
    const isDecided = this.trialStartedAtMs < Math.max(this.lastEndedAtMs, this.clearedAtMs);
    return !isDecided && nowMs < this.trialStartedAtMs + constants.TRIAL_TIMEOUT_MS;
  }

  /** When one run may be tried although the suspect is blamed; later after each further end. */
  get trialDueAtMs(): number {
    const furtherCount = Math.max(0, this.endsCount - constants.BLAME_ENDS_COUNT);
    const delayMs = constants.FIRST_TRIAL_DELAY_MS * constants.TRIAL_DELAY_FACTOR ** furtherCount;
    return this.lastEndedAtMs + Math.min(delayMs, constants.MAX_TRIAL_DELAY_MS);
  }

  /** Whether each server that ended under this suspect also ended under one of the others. */
  isExplainedBy(others: readonly SuspectRecord[]): boolean {
    return [...this.endsByStart.keys()].every((start) =>
      others.some(({ endsByStart }) => endsByStart.has(start)),
    );
  }

  /** Creates a report for other VMs. */
  toReport(nowMs: number): types.SuspectReport {
    const latest = this.ends.slice(-constants.MAX_REPORTED_ENDS_COUNT);
    return {
      ...this.suspect,
      clearedAgeMs: toAge(nowMs, this.clearedAtMs),
      trialAgeMs: toAge(nowMs, this.trialStartedAtMs),
      ends: latest.map((end) => toReportedEnd(end, nowMs)),
    };
  }

  private get lastEndedAtMs(): number {
    return this.ends.at(-1)?.endedAtMs ?? -Infinity;
  }
}

function toAge(nowMs: number, atMs: number): number | null {
  return Number.isFinite(atMs) ? nowMs - atMs : null;
}

/** Converts the end of a server for a report to other VMs. */
export function toReportedEnd(
  { sentAtMs, endedAtMs, ...end }: types.ServerEnd,
  nowMs: number,
): types.ReportedEnd {
  return { ...end, ageMs: nowMs - endedAtMs, ranMs: endedAtMs - sentAtMs };
}

/** Converts the end of a server in a peer's report to the clock of this VM. */
export function fromReportedEnd(
  { ageMs, ranMs, ...end }: types.ReportedEnd,
  nowMs: number,
): types.ServerEnd {
  return { ...end, endedAtMs: nowMs - ageMs, sentAtMs: nowMs - ageMs - ranMs };
}
