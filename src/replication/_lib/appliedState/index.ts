import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as recentRecords from "../recentRecords/index.js";

/** Called after records were applied, or without records after a snapshot was applied. */
export type AppliedListener<State> = (state: State, records: readonly platform.LogRecord[]) => void;

/** A stream's state, its phase and the highest known offset; the applied offset never decreases. */
export class AppliedState<State> {
  phase = types.FollowerPhase.Bootstrapping;
  reason = "starting";
  /** Highest offset that the log or a peer has reported to this VM. */
  knownOffset = -1;
  private state: State;
  private readonly recentRecords = new recentRecords.RecentRecords(constants.RECENT_RECORDS_COUNT);
  private readonly listeners = new Set<AppliedListener<State>>();

  constructor(
    private readonly rules: types.StreamRules<State>,
    private readonly dependencies: types.FollowerDependencies,
  ) {
    this.state = rules.initialState;
  }

  get current(): State {
    return this.state;
  }

  get appliedOffset(): number {
    return this.rules.appliedOffsetOf(this.state);
  }

  /** Lowest offset whose record is still in memory; one past the applied offset if none is. */
  get lowestRecentOffset(): number {
    return this.recentRecords.lowestOffset(this.appliedOffset);
  }

  /** Returns the records in memory from an offset on; none if that offset is not in memory. */
  recordsFrom(offset: number, maxCount: number): readonly platform.LogRecord[] {
    return this.recentRecords.from(offset, maxCount);
  }

  /** Calls the listener after each change of the state, until disposed. */
  onApplied(listener: AppliedListener<State>): Disposable {
    this.listeners.add(listener);
    return { [Symbol.dispose]: () => this.listeners.delete(listener) };
  }

  /**
   * Applies the records that directly follow the applied offset; older records and records after a
   * gap are dropped.
   *
   * @returns the applied records
   */
  apply(records: readonly platform.LogRecord[]): readonly platform.LogRecord[] {
    const applied: platform.LogRecord[] = [];
    for (const record of records) {
      if (record.offset !== this.appliedOffset + 1) continue;
      this.state = this.rules.apply(this.state, record);
      this.recentRecords.add(record);
      applied.push(record);
    }
    if (applied.length === 0) return applied;
    this.knownOffset = Math.max(this.knownOffset, this.appliedOffset);
    this.notifyListeners(applied);
    return applied;
  }

  /**
   * Replaces the state with that of a snapshot that covers a higher offset. A malformed snapshot, or
   * one that covers no higher offset, is ignored.
   *
   * @returns whether the snapshot was applied
   */
  applySnapshot(coveredOffset: number, parts: readonly unknown[]): boolean {
    if (coveredOffset <= this.appliedOffset) return false;
    const { metrics, logger } = this.dependencies;
    const { stream } = this.rules;
    try {
      this.state = this.rules.decodeParts(coveredOffset, parts);
    } catch (error) {
      metrics.increment("replication.snapshot_malformed", 1, { stream });
      logger.warn({ stream, coveredOffset, err: error }, "malformed snapshot ignored");
      return false;
    }
    this.recentRecords.clear();
    this.knownOffset = Math.max(this.knownOffset, coveredOffset);
    logger.info({ stream, coveredOffset }, "snapshot applied");
    this.notifyListeners([]);
    return true;
  }

  /**
   * Lowers the known offset if a read of the log shows that the log ends before it.
   *
   * @param knownBeforeReadOffset - the known offset before the read; if it has changed since, a newer
   * report takes precedence
   * @param lastLogOffset - last offset in the log according to the read
   */
  correctKnownOffset(knownBeforeReadOffset: number, lastLogOffset: number): void {
    if (this.knownOffset !== knownBeforeReadOffset || knownBeforeReadOffset <= lastLogOffset)
      return;
    this.knownOffset = Math.max(this.appliedOffset, lastLogOffset);
  }

  /** Sets the phase and its reason; logs a change of the phase. */
  setPhase(phase: types.FollowerPhase, reason: string): void {
    const isChange = phase !== this.phase;
    this.phase = phase;
    this.reason = reason;
    if (!isChange) return;
    const { stream } = this.rules;
    this.dependencies.metrics.increment(`replication.phase_${phase}`, 1, { stream });
    const fields = { stream, phase, reason, appliedOffset: this.appliedOffset };
    this.dependencies.logger.info(fields, "stream follower changed phase");
  }

  /**
   * Enters the gap phase, because the log no longer retains the records that come next.
   *
   * @param firstOffset - lowest offset that the log retains
   */
  setGap(firstOffset: number): void {
    const missingRange = `${this.appliedOffset + 1} to ${firstOffset - 1}`;
    this.setPhase(types.FollowerPhase.Gap, `the log no longer has the records ${missingRange}`);
  }

  private notifyListeners(records: readonly platform.LogRecord[]): void {
    for (const listener of this.listeners) {
      try {
        listener(this.state, records);
      } catch (error) {
        const { stream } = this.rules;
        this.dependencies.logger.error(
          { stream, err: error },
          "listener for applied records threw an error",
        );
      }
    }
  }
}
