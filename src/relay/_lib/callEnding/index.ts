import * as diagnostics from "../../../diagnostics/index.js";
import * as answerRefusals from "../answerRefusal/index.js";
import type * as attemptScopes from "../attemptScope/index.js";
import type * as callSink from "../callSink/index.js";
import * as forwardableAnswers from "../forwardableAnswer/index.js";
import * as refusals from "../createRefusal/index.js";
import * as plainAttempts from "../recordPlainAttempt/index.js";
import type * as sends from "../sendBuffered/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";

const { Importance, LogEvent } = diagnostics;

/** The end of a plain call: which answer or refusal its caller gets, exactly once. */
export class CallEnding {
  /** Resolves when the caller was answered or has gone. */
  readonly finished: Promise<void>;
  private settle: () => void = () => undefined;
  private lastAnswer: sends.BufferedAnswer | null = null;
  private mayHaveRun = false;
  private isFinished = false;

  /**
   * @param progress - the attempts so far, for logs and for what a timeout means
   */
  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
    private readonly sink: callSink.CallSink,
    private readonly scope: attemptScopes.AttemptScope,
    private readonly progress: { readonly sendsCount: number; readonly pendingCount: number },
  ) {
    this.finished = new Promise<void>((resolve) => {
      this.settle = resolve;
    });
    scope.signal.addEventListener("abort", () => this.onAborted(), { once: true });
  }

  /** Whether the caller was answered or has gone. */
  get isSettled(): boolean {
    return this.isFinished || this.scope.signal.aborted;
  }

  /** Whether a server may have run the call, or may be running it. */
  private get execution(): types.Execution {
    const mayHaveRun = this.mayHaveRun || this.progress.pendingCount > 0;
    return mayHaveRun ? types.Execution.MayHaveRun : types.Execution.NotRun;
  }

  /** Records that a server has run the call, or may have. */
  recordRun(answer: sends.BufferedAnswer | null): void {
    this.mayHaveRun = true;
    if (answer === null) return;
    this.lastAnswer?.body[Symbol.dispose]();
    this.lastAnswer = answer;
  }

  /** Gives the caller the answer of a server. */
  forwardAnswer(answer: sends.BufferedAnswer): void {
    if (this.isFinished) return;
    const forwardable = forwardableAnswers.ForwardableAnswer.from(this.call, answer);
    if (forwardable === null) {
      const details = { serverId: answer.serverId, serverStatus: answer.head.status };
      this.refuse(types.RefusalReason.OutcomeUnknown, null, details);
      return;
    }
    this.sink.answer(forwardable);
    const { sendsCount } = this.progress;
    plainAttempts.recordForwardedAnswer(this.context, this.call, answer, sendsCount);
    this.finish();
  }

  /**
   * Refuses a call that no server has run if it may not end before this VM closes its connections; returns
   * whether it did. If a server may have run it, another answer in time is the best that its caller can get.
   */
  refuseIfTooLate(): boolean {
    if (this.execution === types.Execution.MayHaveRun) return false;
    if (this.call.canEndInTime?.() !== false) return false;
    this.finishUnsent(types.RefusalReason.Stopping, constants.STOPPING_RETRY_AFTER_MS);
    return true;
  }

  /** Ends a call that cannot be sent again: with the last answer, if there is one. */
  finishUnsent(reason: types.RefusalReason, retryAfterMs = constants.DEFAULT_RETRY_AFTER_MS): void {
    if (this.lastAnswer !== null) this.forwardAnswer(this.lastAnswer);
    else this.refuse(reason, retryAfterMs);
  }

  /** Ends a call that is withheld from servers, as some have ended under such work. */
  finishWithheld({ blame }: sends.Withheld): void {
    const { EndsServers } = types.RefusalReason;
    if (this.lastAnswer !== null) this.forwardAnswer(this.lastAnswer);
    else this.refuse(EndsServers, blame.retryAfterMs, refusals.describeBlame(blame));
  }

  /** Ends a call at an unexpected error: it may have been executed, and what servers answered may be the cause. */
  finishFailed(error: unknown): void {
    const { context, call, sink } = this;
    const requestId = call.head.id;
    diagnostics.recordInternalError(context, diagnostics.ErrorOrigin.Request, error, { requestId });
    if (this.isFinished) return;
    sink.failWith(() => this.refuse(types.RefusalReason.InternalError));
    this.finish();
  }

  private onAborted(): void {
    if (this.isFinished) return;
    if (!this.scope.isTimedOut) {
      this.context.log.record(Importance.Notable, LogEvent.CallerGone, {
        requestId: this.call.head.id,
        sendsCount: this.progress.sendsCount,
        elapsedMs: Math.round(this.context.clock.nowMs() - this.call.arrivedAtMs),
      });
      this.finish();
      return;
    }
    if (this.lastAnswer !== null && this.progress.pendingCount === 0) {
      this.forwardAnswer(this.lastAnswer);
      return;
    }
    this.refuse(types.RefusalReason.TimedOutNotRun);
  }

  private refuse(
    reason: types.RefusalReason,
    retryAfterMs: number | null = null,
    details: diagnostics.LogFields = {},
  ): void {
    if (this.isFinished) return;
    const { context, call, sink } = this;
    const refusal = refusals.createRefusal(reason, this.execution, retryAfterMs);
    const { sendsCount } = this.progress;
    answerRefusals.answerRefusal(context, call, sink, refusal, { sendsCount, ...details });
    this.finish();
  }

  private finish(): void {
    this.isFinished = true;
    this.settle();
  }
}
