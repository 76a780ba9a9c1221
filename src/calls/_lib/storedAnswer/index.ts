import type * as backends from "../../../backends/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** Converts an answer for the log; null if it is too large. */
export function toStoredAnswer(answer: backends.ServiceAnswer): types.StoredAnswer | null {
  if (answer.body.length > constants.MAX_STORED_ANSWER_BYTES) return null;
  const { statusCode, contentType } = answer;
  return { statusCode, contentType, body: Buffer.from(answer.body).toString("base64") };
}

/** Converts an answer from the log. */
export function toServiceAnswer(answer: types.StoredAnswer): backends.ServiceAnswer {
  const { statusCode, contentType } = answer;
  return { statusCode, contentType, body: new Uint8Array(Buffer.from(answer.body, "base64")) };
}
