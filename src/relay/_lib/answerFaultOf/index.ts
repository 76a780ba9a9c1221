import type * as types from "../../types.js";

/** Why the head of an answer cannot be that of a server to this call; null where it can. */
export function answerFaultOf(call: types.Call, head: types.AnswerHead): string | null {
  if (head.requestId !== call.head.id) return "answer to another call";
  if (head.isEncoded) return "encoded body";
  if (!head.isSigned) return `unsigned answer with status ${head.status}`;
  return null;
}
