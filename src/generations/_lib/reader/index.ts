import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as callerMeasures from "../callerMeasures/index.js";
import type * as contexts from "../context/index.js";
import * as errors from "../errors/index.js";
import type * as locators from "../locator/index.js";
import * as messages from "../messages/index.js";
import type * as owneds from "../owned/index.js";

/** Where a caller has got to. */
export interface ReadPosition {
  readonly requestId: string;
  readonly accountName: string;
  readonly fromOffset: number;
}

/** Reads generations for callers, wherever they are owned. */
export class Reader {
  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly holders: locators.Holders,
    private readonly locator: locators.Locator,
  ) {}

  start(): void {
    this.context.link.handle(messages.Method.Read, messages.readSchema, async (read) => {
      const generation = this.holders.owner.find(read.requestId);
      if (generation?.record.request.accountName !== read.accountName) return notOwner();
      const timeout = new AbortController();
      const timer = this.context.clock.schedule(read.waitMs, () => timeout.abort());
      const attachment = generation.attach();
      try {
        return await this.readHere(generation, read.fromOffset, timeout.signal);
      } finally {
        attachment[Symbol.dispose]();
        timer[Symbol.dispose]();
      }
    });
  }

  /**
   * Frames from an offset on, each token once; follows the generation to whichever VM owns it.
   * Ending the iteration, or the signal, detaches the caller at once, also while it waits for a
   * token.
   */
  frames(
    position: ReadPosition,
    located: readonly locators.LocatedHolder[],
    measures: callerMeasures.CallerMeasures | null,
    signal?: AbortSignal,
  ): AsyncIterableIterator<types.TokenFrame> {
    const closing = new AbortController();
    const stops = signal === undefined ? closing.signal : AbortSignal.any([closing.signal, signal]);
    const generator = this.follow(position, located, measures, stops);
    return {
      next: () => {
        measures?.onAsked();
        return generator.next();
      },
      return: async () => {
        closing.abort();
        return generator.return(undefined);
      },
      [Symbol.asyncIterator]() {
        return this;
      },
    };
  }

  private async *follow(
    position: ReadPosition,
    located: readonly locators.LocatedHolder[],
    measures: callerMeasures.CallerMeasures | null,
    signal: AbortSignal,
  ): AsyncGenerator<types.TokenFrame, undefined> {
    using attachment = new Attachment();
    const { requestId } = position;
    let holders = located;
    let offset = position.fromOffset;
    let samplingAttempt: number | null = null;
    for (;;) {
      const at = { ...position, fromOffset: offset };
      const answer = await this.read(at, holders, attachment, signal);
      if (answer === null) return;
      holders = [];
      const isOther = samplingAttempt !== null && answer.samplingAttempt !== samplingAttempt;
      if (answer.isSpliced || (isOther && offset > 0)) {
        measures?.onEnded(false);
        throw this.interrupted(offset);
      }
      samplingAttempt = answer.samplingAttempt;
      const { attempt, tokens, finishReason } = answer;
      if (tokens.length > 0) measures?.onTokens();
      if (finishReason !== null) measures?.onEnded(true);
      if (answer.failure !== null) measures?.onEnded(false);
      if (tokens.length > 0 || finishReason !== null) {
        yield { requestId, attempt, offset, tokens, finishReason };
      }
      offset += tokens.length;
      if (finishReason !== null) return;
      if (answer.failure !== null) throw this.failed(answer.failure, offset);
    }
  }

  /** Reads from the owner, and sees to it that there is one. */
  private async read(
    position: ReadPosition,
    located: readonly locators.LocatedHolder[],
    attachment: Attachment,
    signal: AbortSignal,
  ): Promise<messages.ReadAnswer | null> {
    let holders = located;
    while (!signal.aborted) {
      const generation = this.holders.owner.find(position.requestId);
      attachment.follow(generation);
      if (generation?.isCurrentOwner === true) {
        const answer = await this.readHere(generation, position.fromOffset, signal);
        if (answer.isOwner) return answer;
        continue;
      }
      if (holders.length === 0) holders = await this.locator.locate(position.requestId);
      const answer = await this.readElsewhere(position, holders);
      if (answer !== null) return answer;
      holders = [];
    }
    return null;
  }

  private async readElsewhere(
    position: ReadPosition,
    located: readonly locators.LocatedHolder[],
  ): Promise<messages.ReadAnswer | null> {
    const { requestId } = position;
    const owner = located.find((holder) => holder.answer.role === messages.HolderRole.Owner);
    if (owner === undefined) {
      const taken = await this.locator.takeOver(requestId, located);
      if (taken === null) throw errors.createNotFound(requestId);
      return null;
    }
    for (;;) {
      const answer = await this.context.link.call(
        owner.vmName,
        messages.Method.Read,
        { ...position, waitMs: constants.READ_WAIT_MS },
        messages.readAnswerSchema,
        constants.READ_WAIT_MS + constants.PEER_CALL_TIMEOUT_MS,
      );
      if (answer.isErr() || !answer.value.isOwner) return null;
      const isNews =
        answer.value.tokens.length > 0 ||
        answer.value.finishReason !== null ||
        answer.value.failure !== null ||
        answer.value.isSpliced;
      if (isNews) return answer.value;
    }
  }

  /** Waits for tokens after an offset, for a change of owner, or for the signal. */
  private async readHere(
    generation: owneds.OwnedGeneration,
    fromOffset: number,
    signal: AbortSignal,
  ): Promise<messages.ReadAnswer> {
    const { record } = generation;
    for (;;) {
      if (!generation.isCurrentOwner) return notOwner();
      const isSpliced = generation.deliveries.isSplicedAt(fromOffset);
      const chunk = isSpliced ? null : record.deliverable(fromOffset);
      const isNews = chunk !== null || record.failure !== null || isSpliced;
      if (!isNews && !signal.aborted) {
        await record.nextChange(signal);
        continue;
      }
      const tokens = chunk?.tokens ?? [];
      const finishReason = chunk?.finishReason ?? null;
      generation.noteDelivered(fromOffset + tokens.length);
      if (finishReason !== null) generation.deliveries.hasDeliveredEnd = true;
      const { attempt, samplingAttempt } = record;
      const failure = describeFailure(record.failure);
      return { isOwner: true, isSpliced, attempt, samplingAttempt, tokens, finishReason, failure };
    }
  }

  private failed(
    failure: NonNullable<messages.ReadAnswer["failure"]>,
    deliveredTokens: number,
  ): stepError.StepError {
    return errors.createFailure(failure.message, {
      code: failure.code,
      step: failure.step,
      deliveredTokens,
      ...(failure.retryAfterMs === null ? {} : { retryAfterMs: failure.retryAfterMs }),
    });
  }

  private interrupted(deliveredTokens: number): stepError.StepError {
    return errors.createFailure("the sampling that was delivered is lost", {
      code: stepError.ErrorCode.Interrupted,
      step: "generation.read",
      deliveredTokens,
    });
  }
}

/** A caller's hold on a generation that this VM owns, for as long as it owns it. */
class Attachment implements Disposable {
  private generation: owneds.OwnedGeneration | null = null;
  private hold: Disposable | null = null;

  /** Attaches to the generation as it is owned here now, if it is. */
  follow(generation: owneds.OwnedGeneration | null): void {
    if (generation === this.generation) return;
    this[Symbol.dispose]();
    this.generation = generation;
    this.hold = generation?.attach() ?? null;
  }

  [Symbol.dispose](): void {
    this.hold?.[Symbol.dispose]();
    this.hold = null;
  }
}

function describeFailure(error: stepError.StepError | null): messages.ReadAnswer["failure"] {
  if (error === null) return null;
  const { message, code, step } = error;
  return { message, code, step, retryAfterMs: error.retryAfterMs ?? null };
}

function notOwner(): messages.ReadAnswer {
  return {
    isOwner: false,
    isSpliced: false,
    attempt: 0,
    samplingAttempt: 0,
    tokens: [],
    finishReason: null,
    failure: null,
  };
}
