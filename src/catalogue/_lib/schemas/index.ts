import * as zod from "zod";

import * as constants from "../../constants.js";
import * as types from "../../types.js";

const name = zod
  .string()
  .max(constants.MAX_NAME_LENGTH)
  .regex(constants.NAME_PATTERN, "must start with a letter or digit and hold only A-Za-z0-9._-");
const text = zod.string().min(1).max(constants.MAX_ID_LENGTH);
const durationMs = zod.int().min(0).max(constants.MAX_DURATION_MS);
const positiveMs = zod.int().min(1).max(constants.MAX_DURATION_MS);
const positiveCount = zod.int().min(1);
const count = zod.int().min(0);
const url = zod.url({ protocol: /^https?$/ });
const path = zod.string().startsWith("/", "must start with /").max(2_000);
const state = zod.enum(types.DesiredState).default(types.DesiredState.Active);

const objectives = zod
  .strictObject({
    firstTokenMs: positiveMs.exactOptional(),
    interTokenMs: positiveMs.exactOptional(),
    stallMs: positiveMs.exactOptional(),
    targetRatio: zod.number().gt(0).lt(1).default(constants.DEFAULT_TARGET_RATIO),
  })
  .prefault({});

const generation = zod.strictObject({
  kind: zod.literal(types.ItemKind.Generation),
  name,
  owner: text,
  class: zod.enum(types.RequestClass),
  model: text,
  version: text,
  adapter: text.exactOptional(),
  maxTokens: positiveCount.default(constants.DEFAULT_MAX_TOKENS),
  deadlineMs: positiveMs.default(constants.DEFAULT_GENERATION_DEADLINE_MS),
  maxWaitingCount: count.default(constants.DEFAULT_MAX_WAITING_COUNT),
  abandonAfterMs: durationMs.nullable().default(null),
  keepFinishedMs: durationMs.default(constants.DEFAULT_KEEP_FINISHED_MS),
  minLoadedEngines: count.default(constants.DEFAULT_MIN_LOADED_ENGINES),
  objectives,
});

const call = zod
  .strictObject({
    kind: zod.literal(types.ItemKind.Call),
    name,
    owner: text,
    class: zod.enum(types.RequestClass).default(types.RequestClass.Interactive),
    service: name,
    method: zod.enum(["GET", "POST", "PUT", "PATCH", "DELETE"]).default("POST"),
    path,
    semantics: zod.enum(types.CallSemantics),
    statusPath: path
      .refine((value) => value.includes("{key}"), "must contain {key}")
      .exactOptional(),
    keyRequired: zod.boolean().default(false),
    keyRetentionMs: positiveMs.default(constants.DEFAULT_KEY_RETENTION_MS),
    logOutage: zod.enum(types.LogOutagePolicy).default(types.LogOutagePolicy.Wait),
    deadlineMs: positiveMs.default(constants.DEFAULT_CALL_DEADLINE_MS),
    objectives,
  })
  .refine((entry) => entry.semantics === types.CallSemantics.OnceOnly || !entry.keyRequired, {
    path: ["keyRequired"],
    error: "only a once-only call can require a key",
  });

const account = zod.strictObject({
  kind: zod.literal(types.ItemKind.Account),
  name,
  owner: text,
  keyHashes: zod
    .array(
      zod.string().regex(constants.KEY_HASH_PATTERN, "must be a SHA-256 hash in lower-case hex"),
    )
    .max(100)
    .refine((hashes) => new Set(hashes).size === hashes.length, "must not repeat a hash"),
  requestsPerSecond: zod.number().gt(0).default(constants.DEFAULT_REQUESTS_PER_SECOND),
  concurrentRequests: positiveCount.default(constants.DEFAULT_CONCURRENT_REQUESTS),
  tokensPerSecond: zod.number().gt(0).default(constants.DEFAULT_TOKENS_PER_SECOND),
});

const engine = zod.strictObject({
  kind: zod.literal(types.ItemKind.Engine),
  name,
  dataCentre: name,
  url,
  memoryTokens: positiveCount,
  checksFencing: zod.boolean().default(false),
  modelSlotsCount: positiveCount.exactOptional(),
  state,
});

const service = zod.strictObject({
  kind: zod.literal(types.ItemKind.Service),
  name,
  service: name,
  dataCentre: name,
  url,
  state,
});

const vm = zod.strictObject({ kind: zod.literal(types.ItemKind.Vm), name, state });

/** Schema of an item, in operators' documents and in the log; fills in defaults. */
export const catalogueItem: zod.ZodType<types.CatalogueItem> = zod.discriminatedUnion("kind", [
  generation,
  call,
  account,
  engine,
  service,
  vm,
]);

/** Schema of a change record in the log; kind and name must be those of the item. */
export const changeRecord = zod
  .strictObject({
    type: zod.literal("change"),
    changeId: text,
    operator: text,
    kind: zod.enum(types.ItemKind),
    name,
    baseRevision: zod.int().min(0).nullable(),
    item: catalogueItem.nullable(),
  })
  .refine((change) => change.item === null || change.item.kind === change.kind, {
    path: ["item", "kind"],
    error: "must be the kind of the change",
  })
  .refine((change) => change.item === null || change.item.name === change.name, {
    path: ["item", "name"],
    error: "must be the name of the change",
  });

/** Formats all issues of a failed validation in one line, each with its path. */
export function describeIssues(error: zod.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.map(String).join(".") || "record"}: ${issue.message}`)
    .join("; ");
}
