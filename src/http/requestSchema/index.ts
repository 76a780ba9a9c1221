import * as neverthrow from "neverthrow";
import * as zod from "zod";

import * as stepError from "../../_lib/stepError/index.js";
import * as errors from "../_lib/errors.js";
import * as constants from "../constants.js";

const COMPLETION_SCHEMA = zod.strictObject({
  /** Name of a catalogue entry. */
  model: zod.string().min(1),
  prompt: zod.string().min(1),
  max_tokens: zod.int().positive().optional(),
  stream: zod.boolean().optional(),
  /** Time within which the caller wants the complete answer; at most the entry's deadline. */
  deadline_ms: zod.int().positive().optional(),
});

/** Body of `POST /v1/completions`. */
export type CompletionBody = zod.infer<typeof COMPLETION_SCHEMA>;

/**
 * Parses and validates the body of a completion request.
 *
 * @param payload - the raw body
 * @returns the validated body, or an error that lists every issue with its path
 */
export function parseCompletionBody(
  payload: Uint8Array,
): neverthrow.Result<CompletionBody, stepError.StepError> {
  const parsed = parseJson(payload);
  if (parsed.isErr()) return neverthrow.err(parsed.error);
  const checked = COMPLETION_SCHEMA.safeParse(parsed.value);
  if (checked.success) return neverthrow.ok(checked.data);
  const issues = checked.error.issues.map((issue) => {
    const path = issue.path.join(".");
    return path === "" ? issue.message : `${path}: ${issue.message}`;
  });
  return neverthrow.err(createInvalidRequestError(issues.join("; ")));
}

/**
 * Validates an `Idempotency-Key` header.
 *
 * @returns the key, or null without a header; an error if it is too long or not printable
 */
export function parseIdempotencyKey(
  header: string | undefined,
): neverthrow.Result<string | null, stepError.StepError> {
  if (header === undefined) return neverthrow.ok(null);
  const isPrintable = /^[\x21-\x7e]+$/.test(header);
  if (isPrintable && header.length <= constants.MAX_IDEMPOTENCY_KEY_CHARACTERS) {
    return neverthrow.ok(header);
  }
  const limit = constants.MAX_IDEMPOTENCY_KEY_CHARACTERS;
  return neverthrow.err(
    createInvalidRequestError(
      `Idempotency-Key: expected 1 to ${limit} printable characters without spaces`,
    ),
  );
}

/**
 * Parses a `Last-Event-ID` header, which consists of the request id and a token's offset.
 *
 * @returns the offset of the next token to send; 0 without a header
 */
export function parseLastEventId(
  header: string | undefined,
  requestId: string,
): neverthrow.Result<number, stepError.StepError> {
  if (header === undefined || header === "") return neverthrow.ok(0);
  const prefix = `${requestId}:`;
  const digits = header.slice(prefix.length);
  if (header.startsWith(prefix) && /^\d{1,9}$/.test(digits)) {
    return neverthrow.ok(Number(digits) + 1);
  }
  return neverthrow.err(
    createInvalidRequestError(`Last-Event-ID: expected "${prefix}" and the token's offset`),
  );
}

function parseJson(payload: Uint8Array): neverthrow.Result<unknown, stepError.StepError> {
  try {
    return neverthrow.ok(JSON.parse(Buffer.from(payload).toString("utf8")) as unknown);
  } catch (error) {
    const reason = error instanceof Error ? error.message : "unreadable";
    return neverthrow.err(createInvalidRequestError(`the body is not JSON: ${reason}`));
  }
}

function createInvalidRequestError(message: string): stepError.StepError {
  return errors.createRefusal(stepError.ErrorCode.InvalidRequest, "request.parse", message);
}
