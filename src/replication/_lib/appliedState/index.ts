import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as recentRecords from "../recentRecords/index.js";

/** Called after records were applied; no records where the state jumped to a snapshot. */
export type AppliedListener<State> = (state: State, records: readonly platform.LogRecord[]) => void;

/** A stream's state and what is known to be missing; its applied offset never goes down. */
export class AppliedState<State> {
  phase = types.FollowerPhase.Bootstrapping;
  reason = "starting";
  /** Highest offset that this VM has heard of. */
  knownOffset = -1;
  private state: State;
  private readonly recent = new recentRecords.RecentRecords(constants.RECENT_RECORDS_COUNT);
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

  /** First offset that can still be served to peers as a record. */
  get lowestRecentOffset(): number {
    return this.recent.lowestOffset(this.appliedOffset);
  }

  recordsFrom(offset: number, maxCount: number): readonly platform.LogRecord[] {
    return this.recent.from(offset, maxCount);
  }

  onApplied(listener: AppliedListener<State>): Disposable {
    this.listeners.add(listener);
    return { [Symbol.dispose]: () => this.listeners.delete(listener) };
  }

  /** Applies the records that follow on the state; older ones are dropped, as is all after a gap. */
  apply(records: readonly platform.LogRecord[]): readonly platform.LogRecord[] {
    const applied: platform.LogRecord[] = [];
    for (const record of records) {
      if (record.offset !== this.appliedOffset + 1) continue;
      this.state = this.rules.apply(this.state, record);
      this.recent.add(record);
      applied.push(record);
    }
    if (applied.length === 0) return applied;
    this.knownOffset = Math.max(this.knownOffset, this.appliedOffset);
    this.notify(applied);
    return applied;
  }

  /** Takes a snapshot's state where it is ahead; a lower or malformed one is ignored. */
  adopt(coveredOffset: number, parts: readonly unknown[]): boolean {
    if (coveredOffset <= this.appliedOffset) return false;
    const { metrics, logger } = this.dependencies;
    const { stream } = this.rules;
    try {
      this.state = this.rules.decodeParts(coveredOffset, parts);
    } catch (error) {
      metrics.increment("replication.snapshot_malformed", 1, { stream });
      logger.warn({ stream, coveredOffset, err: error }, "snapshot is malformed and ignored");
      return false;
    }
    this.recent.clear();
    this.knownOffset = Math.max(this.knownOffset, coveredOffset);
    logger.info({ stream, coveredOffset }, "snapshot applied");
    this.notify([]);
    return true;
  }

  /** Takes back an offset that was heard of before a read of the log, and that the log disproves. */
  correctKnownOffset(heardOffset: number, lastLogOffset: number): void {
    if (this.knownOffset !== heardOffset || heardOffset <= lastLogOffset) return;
    this.knownOffset = Math.max(this.appliedOffset, lastLogOffset);
  }

  /** Notes where the follower stands; logs it where that is a change. */
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

  /** Notes that the log no longer has the records that come next. */
  noteGap(firstOffset: number): void {
    const missing = `${this.appliedOffset + 1} to ${firstOffset - 1}`;
    this.setPhase(types.FollowerPhase.Gap, `the log no longer has the records ${missing}`);
  }

  private notify(records: readonly platform.LogRecord[]): void {
    for (const listener of this.listeners) {
      try {
        listener(this.state, records);
      } catch (error) {
        const { stream } = this.rules;
        this.dependencies.logger.error(
          { stream, err: error },
          "listener failed on applied records",
        );
      }
    }
  }
}
