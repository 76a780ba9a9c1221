import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import * as progressBounds from "../progressBound/index.js";
import type * as records from "../record/index.js";

/** Watches the run of an owned generation from afar: its silence, and how far it may run ahead. */
export class RunWatch {
  private lastFrameAtMs: number;
  private probesCount = 0;
  private grantedOffset = Infinity;
  private readonly progress: progressBounds.ProgressBound;

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly record: records.GenerationRecord,
  ) {
    this.lastFrameAtMs = context.clock.nowMs();
    this.progress = new progressBounds.ProgressBound(record.request.promptTokens);
  }

  /** Begins anew with a run that was just placed. */
  onPlaced(): void {
    this.grantedOffset = Infinity;
    this.probesCount = 0;
    this.lastFrameAtMs = this.context.clock.nowMs();
  }

  onFrame(): void {
    const nowMs = this.context.clock.nowMs();
    this.progress.note(nowMs - this.lastFrameAtMs);
    this.lastFrameAtMs = nowMs;
    this.probesCount = 0;
  }

  onProbe(): void {
    this.probesCount += 1;
  }

  /** Time without a frame past the bound; null while there is no reason to ask. */
  overdueMs(): number | null {
    const isHeldBack = this.record.tokens.length >= this.grantedOffset;
    if (this.record.run === null || isHeldBack) return null;
    const silentMs = this.context.clock.nowMs() - this.lastFrameAtMs;
    const boundMs = this.progress.boundMs(0) * 2 ** this.probesCount;
    return silentMs < boundMs ? null : silentMs;
  }

  /** Lets the run go on as far ahead of its slowest reader as the window allows. */
  onDelivered(offset: number): void {
    const leftTokens = this.grantedOffset - offset;
    const isEnough = leftTokens > constants.CREDIT_WINDOW_TOKENS / 2;
    if (isEnough && this.grantedOffset !== Infinity) return;
    this.grant(offset + constants.CREDIT_WINDOW_TOKENS);
  }

  /** Lets the run go on without a caller reading it. */
  liftCredit(): void {
    if (this.grantedOffset !== Infinity) this.grant(Infinity);
  }

  private grant(offset: number): void {
    const { run, requestId, attempt } = this.record;
    if (run === null) return;
    this.grantedOffset = offset;
    const params = { requestId, attempt, offset: Number.isFinite(offset) ? offset : null };
    this.context.link.notify(run.homeVm, messages.Method.Credit, params);
  }
}
