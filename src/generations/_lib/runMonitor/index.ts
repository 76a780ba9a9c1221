import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import * as progressTimeouts from "../progressTimeout/index.js";
import type * as records from "../generationRecord/index.js";

/** Detects, at the owner, that a run has been silent for too long, and grants the run credit. */
export class RunMonitor {
  private lastFrameAtMs: number;
  private probesCount = 0;
  private grantedOffset = Infinity;
  private readonly progressTimeout: progressTimeouts.ProgressTimeout;

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly record: records.GenerationRecord,
  ) {
    this.lastFrameAtMs = context.clock.nowMs();
    this.progressTimeout = new progressTimeouts.ProgressTimeout(record.request.promptTokens);
  }

  /** Resets the state for a newly placed run. */
  onPlaced(): void {
    this.grantedOffset = Infinity;
    this.probesCount = 0;
    this.lastFrameAtMs = this.context.clock.nowMs();
  }

  onFrame(): void {
    const nowMs = this.context.clock.nowMs();
    this.progressTimeout.recordInterval(nowMs - this.lastFrameAtMs);
    this.lastFrameAtMs = nowMs;
    this.probesCount = 0;
  }

  onProbe(): void {
    this.probesCount += 1;
  }

  /**
   * Returns the time without a frame, in ms; null if it is within the timeout or none is expected.
   * The timeout doubles with each probe since the last frame.
   */
  computeOverdueMs(): number | null {
    const isOutOfCredit = this.record.tokens.length >= this.grantedOffset;
    if (this.record.run === null || isOutOfCredit) return null;
    const silentMs = this.context.clock.nowMs() - this.lastFrameAtMs;
    const timeoutMs = this.progressTimeout.computeTimeoutMs(0) * 2 ** this.probesCount;
    return silentMs < timeoutMs ? null : silentMs;
  }

  /** Grants a window of credit beyond the delivered offset unless over half of one is left. */
  onDelivered(offset: number): void {
    const remainingTokens = this.grantedOffset - offset;
    const hasEnoughCredit = remainingTokens > constants.CREDIT_WINDOW_TOKENS / 2;
    if (hasEnoughCredit && this.grantedOffset !== Infinity) return;
    this.grantCredit(offset + constants.CREDIT_WINDOW_TOKENS);
  }

  /** Removes the run's credit limit while no caller reads the generation. */
  grantUnlimitedCredit(): void {
    if (this.grantedOffset !== Infinity) this.grantCredit(Infinity);
  }

  private grantCredit(offset: number): void {
    const { run, requestId, attempt } = this.record;
    if (run === null) return;
    this.grantedOffset = offset;
    const params = { requestId, attempt, offset: Number.isFinite(offset) ? offset : null };
    this.context.link.notify(run.homeVm, messages.Method.Credit, params);
  }
}
