import * as answerFaults from "../../../_lib/findAnswerFault/index.js";
import type * as types from "../../types.js";

/**
 * Returns why an answer's head cannot be a server's answer to this call; null if it can. The text
 * omits the received id, whose length and content are not bounded.
 */
export function findHeadFault(call: types.Call, head: types.AnswerHead): string | null {
  const fault = answerFaults.findAnswerFault(head);
  if (fault !== null) return fault;
  // A server may turn a call away before it has read the call's id.
  const needsId = !head.isNotRun || head.requestId !== null;
  if (needsId && head.requestId !== call.head.id)
    return `answer's attempt id is missing or differs from ${call.head.id}`;
  if (head.isNotRun) return null;
  if (head.isEncoded) return "body with a content encoding";
  if (!head.isSigned) return `unsigned answer with status ${head.status}`;
  return null;
}
