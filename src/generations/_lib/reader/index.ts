import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as callerMeasures from "../callerMeasures/index.js";
import type * as contexts from "../context/index.js";
import * as errors from "../errors/index.js";
import type * as locators from "../locator/index.js";
import * as messages from "../messages/index.js";
import type * as ownedGenerations from "../ownedGeneration/index.js";

/** A caller's position in a generation. */
export interface ReadPosition {
  readonly requestId: string;
  readonly accountName: string;
  readonly fromOffset: number;
}

/** Reads generations for callers, from whichever VM owns them. */
export class Reader {
  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly roles: locators.RoleHandlers,
    private readonly locator: locators.Locator,
  ) {}

  /** Registers the message handlers. */
  start(): void {
    this.context.link.handle(messages.Method.Read, messages.readSchema, async (read) => {
      const generation = this.roles.owner.find(read.requestId);
      if (generation?.record.request.accountName !== read.accountName)
        return createNotOwnerAnswer();
      const timeout = new AbortController();
      const timer = this.context.clock.schedule(read.waitMs, () => timeout.abort());
      const attachment = generation.attach();
      try {
        return await this.readLocally(generation, read.fromOffset, timeout.signal);
      } finally {
        attachment[Symbol.dispose]();
        timer[Symbol.dispose]();
      }
    });
  }

  /**
   * Yields frames from an offset, each token once, and follows changes of the owner. Ending the
   * iteration or aborting the signal detaches the caller at once, also while it waits for a token.
   */
  frames(
    position: ReadPosition,
    located: readonly locators.LocatedHolder[],
    measures: callerMeasures.CallerMeasures | null,
    signal?: AbortSignal,
  ): AsyncIterableIterator<types.TokenFrame> {
    const closing = new AbortController();
    const stopSignal =
      signal === undefined ? closing.signal : AbortSignal.any([closing.signal, signal]);
    const generator = this.followGeneration(position, located, measures, stopSignal);
    return {
      next: () => {
        measures?.onFrameRequested();
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

  private async *followGeneration(
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
      const currentPosition = { ...position, fromOffset: offset };
      const answer = await this.read(currentPosition, holders, attachment, signal);
      if (answer === null) return;
      holders = [];
      const isOtherSampling =
        samplingAttempt !== null && answer.samplingAttempt !== samplingAttempt;
      if (answer.isSpliced || (isOtherSampling && offset > 0)) {
        measures?.onEnded(false);
        throw this.createInterruptedError(offset);
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
      if (answer.failure !== null) throw this.createFailureError(answer.failure, offset);
    }
  }

  /** Reads from the owner, or takes over a generation without one; null if the signal aborts. */
  private async read(
    position: ReadPosition,
    located: readonly locators.LocatedHolder[],
    attachment: Attachment,
    signal: AbortSignal,
  ): Promise<messages.ReadAnswer | null> {
    let holders = located;
    while (!signal.aborted) {
      const generation = this.roles.owner.find(position.requestId);
      attachment.attachTo(generation);
      if (generation?.isCurrentOwner === true) {
        const answer = await this.readLocally(generation, position.fromOffset, signal);
        if (answer.isOwner) return answer;
        continue;
      }
      if (holders.length === 0) holders = await this.locator.locate(position.requestId);
      const answer = await this.readFromOwner(position, holders);
      if (answer !== null) return answer;
      holders = [];
    }
    return null;
  }

  private async readFromOwner(
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
      const hasUpdate =
        answer.value.tokens.length > 0 ||
        answer.value.finishReason !== null ||
        answer.value.failure !== null ||
        answer.value.isSpliced;
      if (hasUpdate) return answer.value;
    }
  }

  /** Waits for tokens after an offset, a failure, a change of owner, or the signal. */
  private async readLocally(
    generation: ownedGenerations.OwnedGeneration,
    fromOffset: number,
    signal: AbortSignal,
  ): Promise<messages.ReadAnswer> {
    const { record } = generation;
    for (;;) {
      if (!generation.isCurrentOwner) return createNotOwnerAnswer();
      const isSpliced = generation.deliveries.isSplicedAt(fromOffset);
      const chunk = isSpliced ? null : record.readDeliverable(fromOffset);
      const hasUpdate = chunk !== null || record.failure !== null || isSpliced;
      if (!hasUpdate && !signal.aborted) {
        await record.waitForChange(signal);
        continue;
      }
      const tokens = chunk?.tokens ?? [];
      const finishReason = chunk?.finishReason ?? null;
      generation.recordDelivered(fromOffset + tokens.length);
      if (finishReason !== null) generation.deliveries.hasDeliveredEnd = true;
      const { attempt, samplingAttempt } = record;
      const failure = describeFailure(record.failure);
      return { isOwner: true, isSpliced, attempt, samplingAttempt, tokens, finishReason, failure };
    }
  }

  private createFailureError(
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

  private createInterruptedError(deliveredTokens: number): stepError.StepError {
    return errors.createFailure(
      `the sampling that produced the ${deliveredTokens} delivered tokens is lost`,
      {
        code: stepError.ErrorCode.Interrupted,
        step: "generation.read",
        deliveredTokens,
      },
    );
  }
}

/** A caller's attachment to the generation if this VM owns it; empty otherwise. */
class Attachment implements Disposable {
  private generation: ownedGenerations.OwnedGeneration | null = null;
  private attachment: Disposable | null = null;

  /** Attaches to a generation owned here, and detaches from the previous one. */
  attachTo(generation: ownedGenerations.OwnedGeneration | null): void {
    if (generation === this.generation) return;
    this[Symbol.dispose]();
    this.generation = generation;
    this.attachment = generation?.attach() ?? null;
  }

  [Symbol.dispose](): void {
    this.attachment?.[Symbol.dispose]();
    this.attachment = null;
  }
}

function describeFailure(error: stepError.StepError | null): messages.ReadAnswer["failure"] {
  if (error === null) return null;
  const { message, code, step } = error;
  return { message, code, step, retryAfterMs: error.retryAfterMs ?? null };
}

function createNotOwnerAnswer(): messages.ReadAnswer {
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
