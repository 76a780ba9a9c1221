import type * as types from "../../types.js";

/** Returns why an answer's head cannot be a server's answer to this call; null if it can. */
export function findHeadFault(call: types.Call, head: types.AnswerHead): string | null {
  if (head.requestId !== call.head.id)
    return `answer to attempt ${head.requestId ?? "without id"}, expected ${call.head.id}`;
  if (head.isEncoded) return "body with a content encoding";
  if (!head.isSigned) return `unsigned answer with status ${head.status}`;
  return null;
}
