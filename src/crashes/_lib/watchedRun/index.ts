import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";

/** Receives what a run shows about its work. */
export interface RunListener {
  /** The server has run the work beyond its start. */
  onSurvived(): void;
  /** The connection broke before that. Resolves with whether the server has ended. */
  onBroken(times: RunTimes): Promise<boolean>;
}

/** When a run started, on the monotonic clock. */
export interface RunTimes {
  readonly sentAtMs: number;
  /** When the first byte of the answer arrived; null if none did. */
  readonly begunAtMs: number | null;
}

/** One attempt at a server, watched from its sending to the end of its start phase. */
export class WatchedRun implements Disposable {
  private readonly sentAtMs: number;
  private begunAtMs: number | null = null;
  private survivalTimer: Disposable | null = null;
  private isDecided = false;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly listener: RunListener,
  ) {
    this.sentAtMs = clock.nowMs();
  }

  /** Records that the server has begun to answer. */
  recordBegin(): void {
    this.begunAtMs ??= this.clock.nowMs();
  }

  /** Records that the server has produced output, which starts its start phase. */
  recordOutput(): void {
    if (this.isDecided || this.survivalTimer !== null) return;
    this.survivalTimer = this.clock.schedule(constants.START_PHASE_MS, () => this.recordSurvival());
  }

  /** Records that the server has run the work, for example that its answer is complete. */
  recordSurvival(): void {
    if (this.isDecided) return;
    this[Symbol.dispose]();
    this.listener.onSurvived();
  }

  /** Records that the connection broke. Resolves with whether the server ended in the start phase. */
  async recordBreak(): Promise<boolean> {
    if (this.isDecided) return false;
    this[Symbol.dispose]();
    const { sentAtMs, begunAtMs } = this;
    return this.listener.onBroken({ sentAtMs, begunAtMs });
  }

  /** Ends the watch without a result, as when the work was not run or its caller disconnected. */
  [Symbol.dispose](): void {
    this.isDecided = true;
    this.survivalTimer?.[Symbol.dispose]();
  }
}
