import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as contexts from "../context/index.js";
import * as errors from "../errors/index.js";
import type * as locators from "../locator/index.js";
import * as messages from "../messages/index.js";
import type * as owneds from "../owned/index.js";

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
      return this.readHere(generation, read.fromOffset, read.waitMs);
    });
  }

  /** Frames from an offset on, each token once; follows the generation to whichever VM owns it. */
  async *frames(
    requestId: string,
    accountName: string,
    fromOffset: number,
  ): AsyncGenerator<types.TokenFrame> {
    let offset = fromOffset;
    let samplingAttempt: number | null = null;
    for (;;) {
      const answer = await this.read(requestId, accountName, offset);
      const isOther = samplingAttempt !== null && answer.samplingAttempt !== samplingAttempt;
      if (answer.isSpliced || (isOther && offset > 0)) throw this.interrupted(offset);
      samplingAttempt = answer.samplingAttempt;
      const { attempt, tokens, finishReason } = answer;
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
    requestId: string,
    accountName: string,
    fromOffset: number,
  ): Promise<messages.ReadAnswer> {
    for (;;) {
      const generation = this.holders.owner.find(requestId);
      if (generation?.isCurrentOwner === true) {
        const answer = await this.readHere(generation, fromOffset, Infinity);
        if (answer.isOwner) return answer;
        continue;
      }
      const answer = await this.readElsewhere(requestId, accountName, fromOffset);
      if (answer !== null) return answer;
    }
  }

  private async readElsewhere(
    requestId: string,
    accountName: string,
    fromOffset: number,
  ): Promise<messages.ReadAnswer | null> {
    const located = await this.locator.locate(requestId);
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
        { requestId, accountName, fromOffset, waitMs: constants.READ_WAIT_MS },
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

  /** Waits for tokens after an offset, for a change of owner, or for the time to pass. */
  private async readHere(
    generation: owneds.OwnedGeneration,
    fromOffset: number,
    waitMs: number,
  ): Promise<messages.ReadAnswer> {
    const { record } = generation;
    generation.noteDelivered(0);
    const timeout = new AbortController();
    const timer =
      waitMs === Infinity ? null : this.context.clock.schedule(waitMs, () => timeout.abort());
    generation.attachedCount += 1;
    try {
      for (;;) {
        if (!generation.isCurrentOwner) return notOwner();
        const chunk = record.deliverable(fromOffset);
        const isSpliced = generation.isSplicedAt(fromOffset);
        const isNews = chunk !== null || record.failure !== null || isSpliced;
        if (!isNews && !timeout.signal.aborted) {
          await record.nextChange(timeout.signal);
          continue;
        }
        const tokens = isSpliced ? [] : (chunk?.tokens ?? []);
        generation.noteDelivered(fromOffset + tokens.length);
        return {
          isOwner: true,
          isSpliced,
          attempt: record.attempt,
          samplingAttempt: record.samplingAttempt,
          tokens: [...tokens],
          finishReason: chunk?.finishReason ?? null,
          failure: describeFailure(record.failure),
        };
      }
    } finally {
      generation.attachedCount -= 1;
      timer?.[Symbol.dispose]();
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
