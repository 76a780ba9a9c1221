import type * as stepError from "../../../_lib/stepError/index.js";
import type * as backends from "../../../backends/types.js";
import type * as types from "../../types.js";
import type * as messages from "../messages/index.js";

/** Result of applying a frame. */
export enum FrameVerdict {
  Accepted = "accepted",
  /** The frame is of another attempt, a duplicate, or after the end; it is dropped. */
  Stale = "stale",
  /** Tokens before the frame are missing; it is dropped, and they must be requested again. */
  Gap = "gap",
}

/** Tokens that may be delivered to the caller. */
export interface DeliverableChunk {
  readonly tokens: readonly string[];
  readonly finishReason: backends.FinishReason | null;
}

/** One replica of a generation: its request, its tokens so far and its attempt. */
export class GenerationRecord {
  attempt: number;
  samplingAttempt: number;
  ownerVm: string;
  standbyVm: string | null;
  run: messages.RunLocation | null;
  suspensionsCount: number;
  finishReason: backends.FinishReason | null;
  failure: stepError.StepError | null = null;
  /** Number of tokens that both holders have; later tokens are not delivered yet. */
  heldCount = 0;
  /** Monotonic time after which this VM forgets the generation. */
  expiresAtMs = Infinity;
  private readonly storedTokens: string[];
  private readonly waiters = new Set<() => void>();

  constructor(snapshot: messages.GenerationSnapshot) {
    this.request = snapshot.request;
    this.attempt = snapshot.attempt;
    this.samplingAttempt = snapshot.samplingAttempt;
    this.ownerVm = snapshot.ownerVm;
    this.standbyVm = snapshot.keeperVm;
    this.run = snapshot.run;
    this.suspensionsCount = snapshot.suspensionsCount;
    this.finishReason = snapshot.finishReason;
    this.storedTokens = [...snapshot.tokens];
  }

  readonly request: types.GenerationRequest;

  get requestId(): string {
    return this.request.requestId;
  }

  get tokens(): readonly string[] {
    return this.storedTokens;
  }

  /** Whether the generation has finished or failed. */
  get isSettled(): boolean {
    return this.finishReason !== null || this.failure !== null;
  }

  /** Appends a frame's tokens if it is the next one of the current attempt. */
  acceptFrame(frame: types.TokenFrame): FrameVerdict {
    if (frame.attempt !== this.attempt || this.isSettled) return FrameVerdict.Stale;
    if (frame.offset > this.storedTokens.length) return FrameVerdict.Gap;
    if (frame.offset < this.storedTokens.length) return FrameVerdict.Stale;
    for (const token of frame.tokens) this.storedTokens.push(token);
    this.finishReason = frame.finishReason;
    return FrameVerdict.Accepted;
  }

  /** Records that both holders have this many tokens. */
  markReplicated(count: number): void {
    this.heldCount = Math.max(this.heldCount, Math.min(count, this.storedTokens.length));
    this.notifyChange();
  }

  /** Fails the generation, and wakes its readers. */
  fail(error: stepError.StepError): void {
    if (this.isSettled) return;
    this.failure = error;
    this.notifyChange();
  }

  /** Discards the tokens; the current attempt starts a new sampling. */
  restartSampling(): void {
    this.storedTokens.length = 0;
    this.heldCount = 0;
    this.samplingAttempt = this.attempt;
  }

  /** Returns what may be delivered from an offset; null if there is nothing yet. */
  readDeliverable(fromOffset: number): DeliverableChunk | null {
    const isFullyReplicated = this.heldCount === this.storedTokens.length;
    const finishReason = isFullyReplicated ? this.finishReason : null;
    if (fromOffset >= this.heldCount && finishReason === null) return null;
    return { tokens: this.storedTokens.slice(fromOffset, this.heldCount), finishReason };
  }

  /** Resolves at the next change or when the signal aborts; the state must be checked again then. */
  waitForChange(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        this.waiters.delete(wake);
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      if (signal?.aborted === true) {
        resolve();
        return;
      }
      this.waiters.add(wake);
      signal?.addEventListener("abort", wake, { once: true });
    });
  }

  /** Resolves all pending `waitForChange` promises. */
  notifyChange(): void {
    for (const wake of [...this.waiters]) wake();
  }

  /** Copies the state, as sent between VMs. */
  snapshot(): messages.GenerationSnapshot {
    return {
      request: this.request,
      ownerVm: this.ownerVm,
      keeperVm: this.standbyVm,
      attempt: this.attempt,
      samplingAttempt: this.samplingAttempt,
      tokens: [...this.storedTokens],
      finishReason: this.finishReason,
      suspensionsCount: this.suspensionsCount,
      run: this.run,
    };
  }
}
