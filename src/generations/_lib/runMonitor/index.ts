import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import * as progressTimeouts from "../progressTimeout/index.js";
import type * as records from "../generationRecord/index.js";

/** Monitors the silence of an owned generation's run, and grants it credit, at the owner. */
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

  /** Returns the time without a frame in ms; null if it is within the timeout or none is expected. */
  computeOverdueMs(): number | null {
    const isOutOfCredit = this.record.tokens.length >= this.grantedOffset;
    if (this.record.run === null || isOutOfCredit) return null;
    const silentMs = this.context.clock.nowMs() - this.lastFrameAtMs;
    const timeoutMs = this.progressTimeout.computeTimeoutMs(0) * 2 ** this.probesCount;
    return silentMs < timeoutMs ? null : silentMs;
  }

  /** Grants one window of credit beyond the delivered offset, first or once half of it is used. */
  onDelivered(offset: number): void {
    const leftTokens = this.grantedOffset - offset;
    const isEnough = leftTokens > constants.CREDIT_WINDOW_TOKENS / 2;
    if (isEnough && this.grantedOffset !== Infinity) return;
    this.grantCredit(offset + constants.CREDIT_WINDOW_TOKENS);
  }

  /** Lets the run continue without a limit, while no caller reads it. */
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
