import * as stepError from "../../../_lib/stepError/index.js";
import type * as backends from "../../../backends/types.js";
import * as backendTypes from "../../../backends/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import * as progressTimeouts from "../progressTimeout/index.js";
import * as requests from "../engineRequest/index.js";

/** Observes the frames and the end of a run. */
export interface RunObserver {
  onFrame(run: EngineRun, frame: types.TokenFrame): void;
  onEnded(run: EngineRun, kind: messages.RunEndKind, reason: string): void;
  onFinished(run: EngineRun, reason: backends.FinishReason): void;
}

/** One run, at its engine's home; resumes the engine's stream on new connections. */
export class EngineRun {
  attempt: number;
  ownerVm: string;
  standbyVm: string | null;
  /** The attempt number that identifies the stream at the engine. */
  engineAttempt: number;
  finishReason: backends.FinishReason | null = null;
  isEnded = false;
  isPreempted = false;
  /** Offset up to which the owner accepts tokens; reading of the stream pauses there. */
  creditOffset = Infinity;
  lastProgressAtMs: number;
  lastOwnerContactAtMs: number;
  expiresAtMs = Infinity;
  readonly request: types.GenerationRequest;
  readonly samplingAttempt: number;
  readonly suspensionsCount: number;
  readonly tokens: string[];
  private readonly progressTimeout: progressTimeouts.ProgressTimeout;
  private connection = new AbortController();
  private resumesWithoutTokenCount = 0;
  private wakeReader: (() => void) | null = null;

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly client: backends.EngineClient,
    private readonly observer: RunObserver,
    dispatch: messages.DispatchRequest,
  ) {
    const { snapshot } = dispatch;
    this.request = snapshot.request;
    this.suspensionsCount = snapshot.suspensionsCount;
    this.attempt = snapshot.attempt;
    this.ownerVm = snapshot.ownerVm;
    this.standbyVm = snapshot.keeperVm;
    this.samplingAttempt = snapshot.samplingAttempt;
    this.engineAttempt = dispatch.resumeAttempt ?? snapshot.attempt;
    this.tokens = [...snapshot.tokens];
    this.lastProgressAtMs = context.clock.nowMs();
    this.lastOwnerContactAtMs = this.lastProgressAtMs;
    this.progressTimeout = new progressTimeouts.ProgressTimeout(this.request.promptTokens);
    this.isResumable = dispatch.resumeAttempt !== null;
  }

  private isResumable: boolean;

  get requestId(): string {
    return this.request.requestId;
  }

  get engineName(): string {
    return this.client.name;
  }

  get location(): messages.RunLocation {
    const { engineName, engineAttempt } = this;
    return { homeVm: this.context.link.selfName, engineName, engineAttempt };
  }

  /** Reads the engine's stream until the run ends, reconnecting as often as necessary. */
  async readUntilEnded(): Promise<void> {
    while (!this.isEnded) {
      this.connection = new AbortController();
      try {
        await this.readConnection();
      } catch (error) {
        this.onConnectionFailed(error);
      }
    }
  }

  /**
   * Opens a new connection if the stream has been silent for longer than its timeout, which grows
   * with each connection without a token; ends the run if too many of them had none.
   */
  checkProgress(stepTimeMs: number): void {
    if (this.isEnded || this.isOutOfCredit()) return;
    const silentMs = this.context.clock.nowMs() - this.lastProgressAtMs;
    const timeoutMs =
      this.progressTimeout.computeTimeoutMs(stepTimeMs) * (this.resumesWithoutTokenCount + 1);
    if (silentMs < timeoutMs * (this.resumesWithoutTokenCount + 1)) return;
    if (
      this.resumesWithoutTokenCount >= constants.MAX_RESUMES_WITHOUT_TOKEN_COUNT &&
      !this.isPreempted
    ) {
      this.end(messages.RunEndKind.EngineStalled, `no token for ${Math.round(silentMs)} ms`);
      return;
    }
    this.resumesWithoutTokenCount += 1;
    this.traceStep("engine.resumed", `no token for ${Math.round(silentMs)} ms`);
    this.context.metrics.increment("generations.engine_resumes");
    this.connection.abort();
  }

  /** Ends the run at this VM and notifies the observer; the engine's stream is not cancelled. */
  end(kind: messages.RunEndKind, reason: string): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.close();
    this.observer.onEnded(this, kind, reason);
  }

  /** Stops reading without notifying the observer. */
  drop(): void {
    this.isEnded = true;
    this.close();
  }

  /** Allows reading up to an offset, and continues if reading was paused. */
  grantCredit(offset: number): void {
    this.creditOffset = offset;
    this.wakeReader?.();
  }

  /** Assigns the run to an owner and attempt; later frames carry the new attempt. */
  adopt(attempt: number, ownerVm: string): void {
    this.attempt = attempt;
    this.ownerVm = ownerVm;
    this.creditOffset = Infinity;
    this.lastOwnerContactAtMs = this.context.clock.nowMs();
    this.wakeReader?.();
  }

  /** Sends all tokens from an offset again, on a probe by the owner. */
  resend(fromOffset: number): void {
    this.lastOwnerContactAtMs = this.context.clock.nowMs();
    if (fromOffset > this.tokens.length) return;
    if (fromOffset === this.tokens.length && this.finishReason === null) return;
    this.emit(fromOffset);
  }

  /** Traces a step of the run. */
  traceStep(step: string, reason: string): void {
    this.context.tracer.record(this.requestId, {
      step,
      backend: this.engineName,
      offset: this.tokens.length,
      reason,
    });
  }

  private async readConnection(): Promise<void> {
    const { signal } = this.connection;
    const stream = this.isResumable
      ? this.client.resume(this.requestId, this.engineAttempt, this.tokens.length, signal)
      : this.startStream(signal);
    this.isResumable = true;
    for await (const frame of stream) {
      this.applyFrame(frame);
      if (this.isEnded) return;
      if (this.isOutOfCredit()) await this.waitForCredit();
    }
    if (this.finishReason === null)
      throw new Error(`the stream of engine ${this.engineName} ended without a finish reason`);
  }

  private startStream(signal: AbortSignal): AsyncIterable<backends.EngineFrame> {
    this.engineAttempt = this.attempt;
    const request = requests.createEngineRequest(this.request, this.attempt, this.tokens);
    return this.client.start(request, signal);
  }

  private applyFrame(frame: backends.EngineFrame): void {
    const skipCount = this.tokens.length - frame.offset;
    if (skipCount < 0)
      throw new Error(
        `engine ${this.engineName} skipped the tokens from offset ${this.tokens.length} to ${frame.offset}`,
      );
    const fromOffset = this.tokens.length;
    for (const token of frame.tokens.slice(skipCount)) this.tokens.push(token);
    if (this.tokens.length > fromOffset) this.recordProgress();
    if (frame.finishReason === backendTypes.FinishReason.Cancelled) {
      this.end(messages.RunEndKind.EngineLost, "the engine's stream was cancelled");
      return;
    }
    this.finishReason = frame.finishReason;
    if (this.tokens.length > fromOffset || frame.finishReason !== null) this.emit(fromOffset);
    if (frame.finishReason === null) return;
    this.isEnded = true;
    this.observer.onFinished(this, frame.finishReason);
  }

  private recordProgress(): void {
    const nowMs = this.context.clock.nowMs();
    this.progressTimeout.recordInterval(nowMs - this.lastProgressAtMs);
    this.lastProgressAtMs = nowMs;
    this.resumesWithoutTokenCount = 0;
  }

  private emit(fromOffset: number): void {
    this.observer.onFrame(this, {
      requestId: this.requestId,
      attempt: this.attempt,
      offset: fromOffset,
      tokens: this.tokens.slice(fromOffset),
      finishReason: this.finishReason,
    });
  }

  private onConnectionFailed(error: unknown): void {
    if (this.isEnded) return;
    if (this.connection.signal.aborted) return;
    const reason = error instanceof Error ? error.message : "unknown failure";
    const isRefused =
      error instanceof stepError.StepError && error.execution === stepError.ExecutionState.NotRun;
    if (isRefused || this.resumesWithoutTokenCount > 0) {
      this.end(messages.RunEndKind.EngineLost, reason);
      return;
    }
    this.resumesWithoutTokenCount += 1;
    this.traceStep("engine.resumed", reason);
  }

  private isOutOfCredit(): boolean {
    return this.tokens.length >= this.creditOffset;
  }

  private async waitForCredit(): Promise<void> {
    while (this.isOutOfCredit() && !this.isEnded) {
      await new Promise<void>((resolve) => (this.wakeReader = resolve));
    }
    this.lastProgressAtMs = this.context.clock.nowMs();
  }

  private close(): void {
    this.connection.abort();
    this.wakeReader?.();
  }
}
