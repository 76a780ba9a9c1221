import type * as stepError from "../../../_lib/stepError/index.js";
import type * as backends from "../../../backends/types.js";
import type * as types from "../../types.js";
import type * as messages from "../messages/index.js";

/** What became of a frame. */
export enum FrameVerdict {
  Accepted = "accepted",
  /** Of an old attempt, or a repetition; dropped. */
  Stale = "stale",
  /** Tokens before it are missing; dropped, and to be asked for again. */
  Gap = "gap",
}

/** Tokens that may be handed to the caller. */
export interface DeliverableChunk {
  readonly tokens: readonly string[];
  readonly finishReason: backends.FinishReason | null;
}

/** A generation as one VM holds it: its request, its tokens so far and its attempt. */
export class GenerationRecord {
  attempt: number;
  samplingAttempt: number;
  ownerVm: string;
  keeperVm: string | null;
  run: messages.RunLocation | null;
  suspensionsCount: number;
  finishReason: backends.FinishReason | null;
  failure: stepError.StepError | null = null;
  /** Tokens that both holders have; no token beyond is delivered. */
  heldCount = 0;
  /** When this VM stops holding the generation, once it is settled. */
  expiresAtMs = Infinity;
  private readonly storedTokens: string[];
  private readonly waiters = new Set<() => void>();

  constructor(snapshot: messages.GenerationSnapshot) {
    this.request = snapshot.request;
    this.attempt = snapshot.attempt;
    this.samplingAttempt = snapshot.samplingAttempt;
    this.ownerVm = snapshot.ownerVm;
    this.keeperVm = snapshot.keeperVm;
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

  /** Whether nothing more can come. */
  get isSettled(): boolean {
    return this.finishReason !== null || this.failure !== null;
  }

  /** Takes a frame if it is the next one of the current attempt. */
  acceptFrame(frame: types.TokenFrame): FrameVerdict {
    if (frame.attempt !== this.attempt || this.isSettled) return FrameVerdict.Stale;
    if (frame.offset > this.storedTokens.length) return FrameVerdict.Gap;
    if (frame.offset < this.storedTokens.length) return FrameVerdict.Stale;
    for (const token of frame.tokens) this.storedTokens.push(token);
    this.finishReason = frame.finishReason;
    return FrameVerdict.Accepted;
  }

  /** Notes that both holders have this many tokens. */
  markHeld(count: number): void {
    this.heldCount = Math.max(this.heldCount, Math.min(count, this.storedTokens.length));
    this.notifyChange();
  }

  /** Gives up on the generation; the callers are told. */
  fail(error: stepError.StepError): void {
    if (this.isSettled) return;
    this.failure = error;
    this.notifyChange();
  }

  /** Drops the tokens of a sampling that is not continued. */
  restartSampling(): void {
    this.storedTokens.length = 0;
    this.heldCount = 0;
    this.samplingAttempt = this.attempt;
  }

  /** What may be delivered from an offset on; null where there is nothing yet. */
  deliverable(fromOffset: number): DeliverableChunk | null {
    const isWholeHeld = this.heldCount === this.storedTokens.length;
    const finishReason = isWholeHeld ? this.finishReason : null;
    if (fromOffset >= this.heldCount && finishReason === null) return null;
    return { tokens: this.storedTokens.slice(fromOffset, this.heldCount), finishReason };
  }

  /** Resolves at the next change; a caller checks again then. */
  nextChange(signal?: AbortSignal): Promise<void> {
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

  notifyChange(): void {
    for (const wake of [...this.waiters]) wake();
  }

  snapshot(): messages.GenerationSnapshot {
    return {
      request: this.request,
      ownerVm: this.ownerVm,
      keeperVm: this.keeperVm,
      attempt: this.attempt,
      samplingAttempt: this.samplingAttempt,
      tokens: [...this.storedTokens],
      finishReason: this.finishReason,
      suspensionsCount: this.suspensionsCount,
      run: this.run,
    };
  }
}
