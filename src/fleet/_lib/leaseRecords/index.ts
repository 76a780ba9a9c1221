import * as zod from "zod";

import * as types from "../../types.js";

/** The effect of a lease record. */
export enum LeaseAction {
  Acquire = "acquire",
  Renew = "renew",
  Release = "release",
}

const MAX_NAME_LENGTH = 255;
const nameSchema = zod.string().min(1).max(MAX_NAME_LENGTH);
const offsetSchema = zod.int().nonnegative();

const commonFields = {
  type: zod.literal("lease"),
  recordId: nameSchema,
  purpose: zod.enum(types.LeasePurpose),
  scope: nameSchema,
  holder: nameSchema,
  /** Distinguishes processes that run under the same VM name. */
  instance: nameSchema,
};

const acquireSchema = zod.object({
  ...commonFields,
  action: zod.literal(LeaseAction.Acquire),
  termMs: zod.number().positive(),
  /** Offset of the last record of the preceding lease; null if none was known. */
  followsOffset: offsetSchema.nullable(),
});
const renewSchema = zod.object({
  ...commonFields,
  action: zod.literal(LeaseAction.Renew),
  termMs: zod.number().positive(),
  fencingNumber: offsetSchema,
});
const releaseSchema = zod.object({
  ...commonFields,
  action: zod.literal(LeaseAction.Release),
  fencingNumber: offsetSchema,
});
const leaseRecordSchema = zod.discriminatedUnion("action", [
  acquireSchema,
  renewSchema,
  releaseSchema,
]);

/** A record that acquires a lease. */
export type AcquireRecord = zod.infer<typeof acquireSchema>;
/** A record that renews a lease. */
export type RenewRecord = zod.infer<typeof renewSchema>;
/** A record that releases a lease before its term ends. */
export type ReleaseRecord = zod.infer<typeof releaseSchema>;
/** Any record of the lease stream. */
export type LeaseRecord = zod.infer<typeof leaseRecordSchema>;

/** Parses a record's payload; returns undefined for an invalid one, which every reader skips. */
export function parseLeaseRecord(payload: unknown): LeaseRecord | undefined {
  return leaseRecordSchema.safeParse(payload).data;
}
