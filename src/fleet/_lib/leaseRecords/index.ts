import * as zod from "zod";

import * as types from "../../types.js";

/** What a lease record does. */
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
  /** Tells one process from another that runs under the same name. */
  instance: nameSchema,
};

const acquireSchema = zod.object({
  ...commonFields,
  action: zod.literal(LeaseAction.Acquire),
  termMs: zod.number().positive(),
  /** Offset of the last record of the lease that this one follows; null where none was known. */
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

/** Asks for a lease. */
export type AcquireRecord = zod.infer<typeof acquireSchema>;
/** Prolongs a lease. */
export type RenewRecord = zod.infer<typeof renewSchema>;
/** Gives a lease back before its term is over. */
export type ReleaseRecord = zod.infer<typeof releaseSchema>;
/** Any record of the stream of leases. */
export type LeaseRecord = zod.infer<typeof leaseRecordSchema>;

/** Reads a record's payload; undefined for anything that every reader skips. */
export function parseLeaseRecord(payload: unknown): LeaseRecord | undefined {
  return leaseRecordSchema.safeParse(payload).data;
}
