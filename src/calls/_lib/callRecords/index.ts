import * as zod from "zod";

import type * as types from "../../types.js";

const MAX_FIELD_CHARACTERS = 200;
const MAX_RETENTION_MS = 366 * 86_400_000;

const identifier = zod.string().min(1).max(MAX_FIELD_CHARACTERS);

/** Schema of a service's answer as stored in the log. */
export const storedAnswer = zod.object({
  statusCode: zod.int().min(100).max(599),
  contentType: zod.string().max(MAX_FIELD_CHARACTERS),
  body: zod.base64(),
});

const callRecord = zod.discriminatedUnion("type", [
  zod.object({
    type: zod.literal("intent"),
    keyId: identifier,
    attempt: identifier,
    bodyHash: identifier,
    vm: identifier,
    keyTimeMs: zod.int().min(0).nullable(),
    retentionMs: zod.int().min(0).max(MAX_RETENTION_MS),
  }),
  zod.object({ type: zod.literal("released"), keyId: identifier, attempt: identifier }),
  zod.object({
    type: zod.literal("outcome"),
    keyId: identifier,
    attempt: identifier,
    answer: storedAnswer.nullable(),
  }),
  zod.object({ type: zod.literal("unknown"), keyId: identifier, attempt: identifier }),
]);

/** Parses a payload of the log stream of calls; returns null if it is malformed. */
export function parseCallRecord(payload: unknown): types.CallRecord | null {
  const parsed = callRecord.safeParse(payload);
  return parsed.success ? parsed.data : null;
}
