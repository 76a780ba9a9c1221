import type * as clocks from "../../../_lib/clock/index.js";
import type * as loggers from "../../../_lib/logger/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import * as replication from "../../../replication/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as applyCallRecord from "../../applyCallRecord/index.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import type * as groupAppender from "../groupAppender/index.js";
import * as keyChangeNotifier from "../keyChangeNotifier/index.js";

/** Result of an attempt's claim of a key. */
export enum ClaimResult {
  /** The attempt holds the key: only this process may dispatch it, once. */
  Live = "live",
  /** The intent did not take the key, usually because another attempt's came first in the log. */
  Lost = "lost",
  /** The log did not confirm the claim before the deadline; the attempt is never dispatched. */
  GivenUp = "given-up",
  /** The log could not be reached, and the entry does not let calls wait for it. */
  Refused = "refused",
}

/** How long a claim may wait for the log. */
export interface ClaimOptions {
  readonly deadlineAtMs: number;
  /** Whether the claim is repeated until the deadline while the log is unavailable. */
  readonly canWaitForLog: boolean;
}

/** Dependencies of `KeyLedger`. */
export interface LedgerDependencies {
  readonly clock: clocks.Clock;
  readonly logger: loggers.Logger;
  readonly metrics: telemetry.Metrics;
  readonly follower: replication.StreamFollower<types.CallsState>;
  readonly appender: groupAppender.GroupAppender;
}

/** State of the keys of once-only calls; claims keys and appends the records of their attempts. */
export class KeyLedger implements AsyncDisposable {
  /** Notifies calls that wait for a change of a key. */
  readonly changeNotifier: keyChangeNotifier.KeyChangeNotifier;
  private readonly stopping = new AbortController();
  private readonly pendingWrites = new Set<Promise<void>>();
  /** Outcomes by key id that have not reached the log yet; this VM already replays them. */
  private readonly pendingOutcomes = new Map<string, types.OutcomeRecord>();
  private readonly subscription: Disposable;

  constructor(private readonly dependencies: LedgerDependencies) {
    this.changeNotifier = new keyChangeNotifier.KeyChangeNotifier(dependencies.clock);
    this.subscription = dependencies.follower.onApplied((_, records) => {
      this.changeNotifier.onRecordsApplied(records);
    });
  }

  /** Number of records that have not reached the log yet. */
  get pendingWritesCount(): number {
    return this.pendingWrites.size;
  }

  /**
   * Returns a key's state from the log, or from this process's outcome that is not in the log
   * yet.
   */
  findKeyState(keyId: string): types.KeyState {
    const known = applyCallRecord.findKeyState(this.dependencies.follower.current, keyId);
    const local = this.pendingOutcomes.get(keyId);
    if (local?.attempt !== known.attempt) return known;
    return { ...known, phase: types.KeyPhase.Done, answer: local.answer };
  }

  /** Whether a key's timestamp exceeds the maximum age; see `applyCallRecord.isKeyTooOld`. */
  isKeyTooOld(keyTimeMs: number | null): boolean {
    return applyCallRecord.isKeyTooOld(this.dependencies.follower.current, keyTimeMs);
  }

  /** Whether the local state can decide on keys: no record is known to be missing from it. */
  get canDecide(): boolean {
    return this.dependencies.follower.isFollowing;
  }

  /**
   * Appends an intent and waits until the local state includes it. If the result of an append is
   * unknown, the log is read to find out, or the append is repeated with the same attempt id,
   * which takes effect only once. An attempt that is given up is released if its intent may still
   * reach the log.
   */
  async claim(intent: types.IntentRecord, options: ClaimOptions): Promise<ClaimResult> {
    let isPossiblyAppended = false;
    let pauseMs = constants.MIN_LOG_RETRY_MS;
    for (;;) {
      const appended = await this.dependencies.appender.append(intent);
      const remainingMs = options.deadlineAtMs - this.dependencies.clock.nowMs();
      if (appended.isOk()) return this.confirmClaim(intent, appended.value, remainingMs);
      isPossiblyAppended ||= appended.error.execution !== stepError.ExecutionState.NotRun;
      const resolved = isPossiblyAppended ? await this.resolveByReading(intent) : null;
      if (resolved !== null) return resolved;
      if (!options.canWaitForLog)
        return this.giveUp(intent, isPossiblyAppended, ClaimResult.Refused);
      if (remainingMs <= pauseMs)
        return this.giveUp(intent, isPossiblyAppended, ClaimResult.GivenUp);
      await this.dependencies.clock.sleep(pauseMs);
      pauseMs = Math.min(2 * pauseMs, constants.MAX_LOG_RETRY_MS);
    }
  }

  /**
   * Records that the attempt was not and will not be dispatched; retries until it is in the log.
   */
  release(intent: Pick<types.IntentRecord, "keyId" | "attempt">): void {
    this.writeInBackground({ type: "released", keyId: intent.keyId, attempt: intent.attempt });
  }

  /** Records an attempt's outcome; this VM replays it at once, other VMs when it is in the log. */
  recordOutcome(outcome: types.OutcomeRecord): void {
    this.pendingOutcomes.set(outcome.keyId, outcome);
    this.changeNotifier.notify(outcome.keyId);
    this.writeInBackground(outcome, () => this.pendingOutcomes.delete(outcome.keyId));
  }

  /** Records that the attempt was dispatched and its outcome could not be determined. */
  recordUnknown(record: Pick<types.UnknownRecord, "keyId" | "attempt">): void {
    this.writeInBackground({ type: "unknown", keyId: record.keyId, attempt: record.attempt });
  }

  /** Waits until all pending records are in the log; call it before disposing of the appender. */
  async flush(): Promise<void> {
    while (this.pendingWrites.size > 0) await Promise.all(this.pendingWrites);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopping.abort();
    this.subscription[Symbol.dispose]();
    await Promise.all(this.pendingWrites);
  }

  private async confirmClaim(
    intent: types.IntentRecord,
    offset: number,
    remainingMs: number,
  ): Promise<ClaimResult> {
    const isApplied = await this.dependencies.follower.waitForOffset(offset, remainingMs);
    if (!isApplied) return this.giveUp(intent, true, ClaimResult.GivenUp);
    return this.isLiveAttempt(intent) ? ClaimResult.Live : ClaimResult.Lost;
  }

  /**
   * Reads to the end of the log to resolve a claim whose append has an unknown result; returns null
   * if the read fails or the intent may still reach the log.
   */
  private async resolveByReading(intent: types.IntentRecord): Promise<ClaimResult | null> {
    const caughtUp = await this.dependencies.follower.catchUpToEnd();
    if (caughtUp.isErr()) return null;
    if (this.isLiveAttempt(intent)) return ClaimResult.Live;
    if (this.findKeyState(intent.keyId).phase === types.KeyPhase.Free) return null;
    return this.giveUp(intent, true, ClaimResult.Lost);
  }

  private isLiveAttempt(intent: types.IntentRecord): boolean {
    const key = this.findKeyState(intent.keyId);
    return key.phase === types.KeyPhase.Held && key.attempt === intent.attempt;
  }

  private giveUp(
    intent: types.IntentRecord,
    isPossiblyAppended: boolean,
    result: ClaimResult,
  ): ClaimResult {
    if (isPossiblyAppended) this.release(intent);
    return result;
  }

  private writeInBackground(record: types.CallRecord, onDone?: () => void): void {
    const writing = this.appendWithRetries(record).then(onDone, (error: unknown) => {
      this.dependencies.logger.error(
        { record: record.type, err: error },
        `${record.type} record of attempt ${record.attempt} was not written to the log`,
      );
    });
    const tracked = writing.then(() => {
      this.pendingWrites.delete(tracked);
    });
    this.pendingWrites.add(tracked);
  }

  /**
   * Repeating the append is safe: only the first record of its type for an attempt has an effect.
   */
  private async appendWithRetries(record: types.CallRecord): Promise<void> {
    const { appender, clock, follower, metrics } = this.dependencies;
    let pauseMs = constants.MIN_LOG_RETRY_MS;
    while (!this.stopping.signal.aborted) {
      const appended = await appender.append(record);
      if (appended.isOk()) {
        await follower.waitForOffset(appended.value, constants.APPEND_TIMEOUT_MS);
        return;
      }
      metrics.increment("calls.record_delayed", 1, { type: record.type });
      await clock.sleep(pauseMs);
      pauseMs = Math.min(2 * pauseMs, constants.MAX_LOG_RETRY_MS);
    }
  }
}
