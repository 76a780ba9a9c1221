import type * as backends from "../../backends/types.js";
import type * as generations from "../../generations/types.js";
import type * as problems from "../createProblem/index.js";

/** Fields that every event of one answer contains. */
export interface EventHead {
  readonly requestId: string;
  readonly entryName: string;
}

/** Event that ends the stream of a finished answer. */
export const DONE_EVENT = "data: [DONE]\n\n";

/**
 * Formats a frame as server-sent events, one per token. An event's id consists of the request id and
 * the token's offset. The final frame is followed by `DONE_EVENT`.
 *
 * @returns text in the event stream format
 */
export function formatFrame(head: EventHead, frame: generations.TokenFrame): string {
  const start = `data: {"id":${JSON.stringify(head.requestId)},"object":"text_completion","model":${JSON.stringify(head.entryName)},"choices":[{"index":0,"text":`;
  const lastIndex = frame.tokens.length - 1;
  let text = "";
  frame.tokens.forEach((token, index) => {
    const finishReason = index === lastIndex ? frame.finishReason : null;
    const end = `,"finish_reason":${JSON.stringify(finishReason)}}]}\n\n`;
    text += `id: ${head.requestId}:${frame.offset + index}\n${start}${JSON.stringify(token)}${end}`;
  });
  const isEmptyFinalFrame = lastIndex < 0 && frame.finishReason !== null;
  if (isEmptyFinalFrame) text = `${start}"","finish_reason":"${frame.finishReason}"}]}\n\n`;
  return frame.finishReason === null ? text : text + DONE_EVENT;
}

/** Formats the error event that ends an interrupted stream. */
export function formatProblem(problem: problems.Problem): string {
  return `event: error\ndata: ${JSON.stringify(problem)}\n\n`;
}

/** Creates the body of a complete answer that is not streamed. */
export function formatCompletion(
  head: EventHead,
  promptTokens: number,
  tokens: readonly string[],
  finishReason: backends.FinishReason | null,
): object {
  return {
    id: head.requestId,
    object: "text_completion",
    model: head.entryName,
    choices: [{ index: 0, text: tokens.join(""), finish_reason: finishReason }],
    usage: {
      prompt_tokens: promptTokens,
      completion_tokens: tokens.length,
      total_tokens: promptTokens + tokens.length,
    },
  };
}
