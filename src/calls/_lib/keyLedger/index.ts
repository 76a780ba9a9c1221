import type * as clocks from "../../../_lib/clock/index.js";
import type * as loggers from "../../../_lib/logger/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import * as replication from "../../../replication/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as applyCallRecord from "../../applyCallRecord/index.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import type * as groupAppender from "../groupAppender/index.js";
import * as keyWatch from "../keyWatch/index.js";

/** What became of an attempt to become a key's live one. */
export enum ClaimVerdict {
  /** The attempt is the live one: this process alone may dispatch, once. */
  Live = "live",
  /** Another attempt came first. */
  Lost = "lost",
  /** The log could not be reached in time; the attempt is released and never dispatches. */
  GivenUp = "given-up",
  /** As given up, because the entry refuses rather than waits. */
  Refused = "refused",
}

/** How a claim may wait for the log. */
export interface ClaimOptions {
  readonly deadlineAtMs: number;
  readonly waitsForLog: boolean;
}

/** What the ledger works with. */
export interface LedgerDependencies {
  readonly clock: clocks.Clock;
  readonly logger: loggers.Logger;
  readonly metrics: telemetry.Metrics;
  readonly follower: replication.StreamFollower<types.CallsState>;
  readonly appender: groupAppender.GroupAppender;
}

/** Once-only keys by the log's order: what is known of them, claims, and later records. */
export class KeyLedger implements AsyncDisposable {
  readonly watch: keyWatch.KeyWatch;
  private readonly stopping = new AbortController();
  private readonly unwritten = new Set<Promise<void>>();
  /** Answers that are not in the log yet, by key; served here meanwhile. */
  private readonly localAnswers = new Map<string, types.OutcomeRecord>();
  private readonly subscription: Disposable;

  constructor(private readonly dependencies: LedgerDependencies) {
    this.watch = new keyWatch.KeyWatch(dependencies.clock);
    this.subscription = dependencies.follower.onApplied((_, records) => {
      this.watch.onApplied(records);
    });
  }

  /** Records that still have to reach the log. */
  get unwrittenCount(): number {
    return this.unwritten.size;
  }

  /** A key as the log and this process's own unwritten outcome know it. */
  find(keyId: string): types.KeyState {
    const known = applyCallRecord.findKeyState(this.dependencies.follower.current, keyId);
    const local = this.localAnswers.get(keyId);
    if (local?.attempt !== known.attempt) return known;
    return { ...known, phase: types.KeyPhase.Done, answer: local.answer };
  }

  isTooOld(keyTimeMs: number | null): boolean {
    return applyCallRecord.isKeyTooOld(this.dependencies.follower.current, keyTimeMs);
  }

  /** Whether keys may be judged here: this VM holds all that it could learn of. */
  get isUsable(): boolean {
    return this.dependencies.follower.isFollowing;
  }

  /**
   * Appends an intent and reads back to it. An append whose answer was lost is settled by reading,
   * or repeated under the same attempt, which has an effect only once. An attempt that is given up
   * while its intent may still reach the log is released.
   */
  async claim(intent: types.IntentRecord, options: ClaimOptions): Promise<ClaimVerdict> {
    let mayReachLog = false;
    let pauseMs = constants.MIN_LOG_RETRY_MS;
    for (;;) {
      const appended = await this.dependencies.appender.append(intent);
      const remainingMs = options.deadlineAtMs - this.dependencies.clock.nowMs();
      if (appended.isOk()) return this.readBack(intent, appended.value, remainingMs);
      mayReachLog ||= appended.error.execution !== stepError.ExecutionState.NotRun;
      const settled = mayReachLog ? await this.settle(intent) : null;
      if (settled !== null) return settled;
      if (!options.waitsForLog) return this.giveUp(intent, mayReachLog, ClaimVerdict.Refused);
      if (remainingMs <= pauseMs) return this.giveUp(intent, mayReachLog, ClaimVerdict.GivenUp);
      await this.dependencies.clock.sleep(pauseMs);
      pauseMs = Math.min(2 * pauseMs, constants.MAX_LOG_RETRY_MS);
    }
  }

  /** Writes that the attempt has not dispatched and never will; repeated until it is in the log. */
  release(intent: Pick<types.IntentRecord, "keyId" | "attempt">): void {
    this.writeUntilDone({ type: "released", keyId: intent.keyId, attempt: intent.attempt });
  }

  /** Writes an attempt's outcome; until it is in the log it is served from here. */
  conclude(outcome: types.OutcomeRecord): void {
    this.localAnswers.set(outcome.keyId, outcome);
    this.watch.wake(outcome.keyId);
    this.writeUntilDone(outcome, () => this.localAnswers.delete(outcome.keyId));
  }

  /** Writes that the attempt was dispatched and its outcome could not be learnt. */
  leaveOpen(record: Pick<types.UnknownRecord, "keyId" | "attempt">): void {
    this.writeUntilDone({ type: "unknown", keyId: record.keyId, attempt: record.attempt });
  }

  /** Waits for records that are on their way; call while the appender still runs. */
  async flush(): Promise<void> {
    while (this.unwritten.size > 0) await Promise.all(this.unwritten);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopping.abort();
    this.subscription[Symbol.dispose]();
    await Promise.all(this.unwritten);
  }

  private async readBack(
    intent: types.IntentRecord,
    offset: number,
    remainingMs: number,
  ): Promise<ClaimVerdict> {
    const isRead = await this.dependencies.follower.waitForOffset(offset, remainingMs);
    if (!isRead) return this.giveUp(intent, true, ClaimVerdict.GivenUp);
    return this.isLive(intent) ? ClaimVerdict.Live : ClaimVerdict.Lost;
  }

  /** Reads to the log's end; null where the intent may still be on its way. */
  private async settle(intent: types.IntentRecord): Promise<ClaimVerdict | null> {
    const caughtUp = await this.dependencies.follower.catchUpToEnd();
    if (caughtUp.isErr()) return null;
    if (this.isLive(intent)) return ClaimVerdict.Live;
    if (this.find(intent.keyId).phase === types.KeyPhase.Free) return null;
    return this.giveUp(intent, true, ClaimVerdict.Lost);
  }

  private isLive(intent: types.IntentRecord): boolean {
    const key = this.find(intent.keyId);
    return key.phase === types.KeyPhase.Held && key.attempt === intent.attempt;
  }

  private giveUp(
    intent: types.IntentRecord,
    mayReachLog: boolean,
    verdict: ClaimVerdict,
  ): ClaimVerdict {
    if (mayReachLog) this.release(intent);
    return verdict;
  }

  private writeUntilDone(record: types.CallRecord, onDone?: () => void): void {
    const writing = this.write(record).then(onDone, (error: unknown) => {
      this.dependencies.logger.error({ record: record.type, err: error }, "record not written");
    });
    const tracked = writing.then(() => {
      this.unwritten.delete(tracked);
    });
    this.unwritten.add(tracked);
  }

  /** Every such record may be repeated: only the first of an attempt has an effect. */
  private async write(record: types.CallRecord): Promise<void> {
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
