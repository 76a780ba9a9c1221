import type * as backends from "../../../backends/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as callRecords from "../callRecords/index.js";

/**
 * Converts an answer for the log. A record that the log's readers could not parse would leave its key held.
 *
 * @returns null if the answer is too large, or not in the form of the log's records
 */
export function toStoredAnswer(answer: backends.ServiceAnswer): types.StoredAnswer | null {
  if (answer.body.length > constants.MAX_STORED_ANSWER_BYTES) return null;
  const { statusCode, contentType } = answer;
  const body = Buffer.from(answer.body).toString("base64");
  const stored = callRecords.storedAnswer.safeParse({ statusCode, contentType, body });
  return stored.success ? stored.data : null;
}

/** Converts an answer from the log. */
export function toServiceAnswer(answer: types.StoredAnswer): backends.ServiceAnswer {
  const { statusCode, contentType } = answer;
  return { statusCode, contentType, body: new Uint8Array(Buffer.from(answer.body, "base64")) };
}
