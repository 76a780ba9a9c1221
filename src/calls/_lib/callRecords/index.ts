import * as zod from "zod";

import type * as types from "../../types.js";

const MAX_FIELD_LENGTH = 200;
const MAX_RETENTION_MS = 366 * 86_400_000;

const field = zod.string().min(1).max(MAX_FIELD_LENGTH);

/** Schema of a service's answer as stored in the log. */
export const storedAnswer = zod.object({
  statusCode: zod.int().min(100).max(599),
  contentType: zod.string().max(MAX_FIELD_LENGTH),
  body: zod.base64(),
});

const callRecord = zod.discriminatedUnion("type", [
  zod.object({
    type: zod.literal("intent"),
    keyId: field,
    attempt: field,
    bodyHash: field,
    vm: field,
    keyTimeMs: zod.int().min(0).nullable(),
    retentionMs: zod.int().min(0).max(MAX_RETENTION_MS),
  }),
  zod.object({ type: zod.literal("released"), keyId: field, attempt: field }),
  zod.object({
    type: zod.literal("outcome"),
    keyId: field,
    attempt: field,
    answer: storedAnswer.nullable(),
  }),
  zod.object({ type: zod.literal("unknown"), keyId: field, attempt: field }),
]);

/** Parses a log payload as a record of the calls' stream; returns null if it is malformed. */
export function parseCallRecord(payload: unknown): types.CallRecord | null {
  const parsed = callRecord.safeParse(payload);
  return parsed.success ? parsed.data : null;
}
