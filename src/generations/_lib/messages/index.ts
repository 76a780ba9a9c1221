import * as zod from "zod";

import * as stepError from "../../../_lib/stepError/index.js";
import * as backendTypes from "../../../backends/types.js";
import * as catalogueTypes from "../../../catalogue/types.js";

/** Methods that the generation services of different VMs call on each other. */
export enum Method {
  Keep = "generations/keep",
  Forget = "generations/forget",
  Located = "generations/located",
  CopyFrames = "generations/copy-frames",
  Copied = "generations/copied",
  Dispatch = "generations/dispatch",
  Frames = "generations/frames",
  RunEnded = "generations/run-ended",
  Probe = "generations/probe",
  Cancel = "generations/cancel",
  Credit = "generations/credit",
  TakeOver = "generations/take-over",
  Claim = "generations/claim",
  Locate = "generations/locate",
  Read = "generations/read",
  Waiting = "generations/waiting",
  Room = "generations/room",
  EngineViews = "generations/engine-views",
  Lengths = "generations/lengths",
  KnownLengths = "generations/known-lengths",
}

const entrySchema = zod.object({
  kind: zod.literal(catalogueTypes.ItemKind.Generation),
  name: zod.string(),
  owner: zod.string(),
  class: zod.enum(catalogueTypes.RequestClass),
  model: zod.string(),
  version: zod.string(),
  adapter: zod.string().exactOptional(),
  maxTokens: zod.number(),
  deadlineMs: zod.number(),
  maxWaitingCount: zod.number(),
  abandonAfterMs: zod.number().nullable(),
  keepFinishedMs: zod.number(),
  minLoadedEngines: zod.number(),
  objectives: zod.object({
    firstTokenMs: zod.number().exactOptional(),
    interTokenMs: zod.number().exactOptional(),
    stallMs: zod.number().exactOptional(),
    targetRatio: zod.number(),
  }),
});

/** A caller's request as it passes between VMs. */
export const requestSchema = zod.object({
  requestId: zod.string(),
  entry: entrySchema,
  accountName: zod.string(),
  prompt: zod.string(),
  promptTokens: zod.number(),
  maxTokens: zod.number(),
  isStreamed: zod.boolean(),
  deadlineAtWallMs: zod.number(),
});

/** Where a generation runs. */
export const runLocationSchema = zod.object({
  homeVm: zod.string(),
  engineName: zod.string(),
  /** The attempt under which the engine knows the stream. */
  engineAttempt: zod.number(),
});

/** Everything that a holder of a generation knows. */
export const snapshotSchema = zod.object({
  request: requestSchema,
  ownerVm: zod.string(),
  keeperVm: zod.string().nullable(),
  attempt: zod.number(),
  /** The attempt whose sampling the tokens come from. */
  samplingAttempt: zod.number(),
  tokens: zod.array(zod.string()),
  /** How often homes have suspended it, so that the next one spares it. */
  suspensionsCount: zod.int().min(0),
  finishReason: zod.enum(backendTypes.FinishReason).nullable(),
  run: runLocationSchema.nullable(),
});

/** Whether a holder accepted what it was told, or knows of a newer attempt. */
export const holdAnswerSchema = zod.object({
  isHeld: zod.boolean(),
  attempt: zod.number(),
  ownerVm: zod.string(),
});

export const dispatchSchema = zod.object({
  snapshot: snapshotSchema,
  engineName: zod.string(),
  /** The engine's stream to take up, where there may still be one. */
  resumeAttempt: zod.number().nullable(),
  /** Whether the home announced room for this work. */
  isOffered: zod.boolean(),
});

/** What a home made of a dispatch. */
export enum DispatchVerdict {
  Admitted = "admitted",
  Wait = "wait",
  Refused = "refused",
  /** The engine cannot take work: it leaves, is dead or unknown here. */
  Unavailable = "unavailable",
  /** The home knows a newer attempt. */
  Superseded = "superseded",
}

export const dispatchAnswerSchema = zod.object({
  verdict: zod.enum(DispatchVerdict),
  reason: zod.string(),
  estimatedWaitMs: zod.number(),
  attempt: zod.number(),
  ownerVm: zod.string(),
});

/** Why a run ended without its generation being finished. */
export enum RunEndKind {
  EngineLost = "engine-lost",
  EngineStalled = "engine-stalled",
  EngineLeaving = "engine-leaving",
  Suspended = "suspended",
  Superseded = "superseded",
  HomeLeaving = "home-leaving",
}

export const runEndedSchema = zod.object({
  requestId: zod.string(),
  attempt: zod.number(),
  kind: zod.enum(RunEndKind),
  reason: zod.string(),
});

export const attemptSchema = zod.object({ requestId: zod.string(), attempt: zod.number() });

export const locatedSchema = attemptSchema.extend({ run: runLocationSchema });

export const offsetSchema = attemptSchema.extend({ offset: zod.number() });

export const cancelSchema = attemptSchema.extend({
  /** The engine's stream that goes on elsewhere and must not be cancelled; null for none. */
  keptStream: runLocationSchema.nullable(),
});

export const creditSchema = attemptSchema.extend({
  /** Offset up to which tokens may be sent; null for no bound. */
  offset: zod.number().nullable(),
});

export const probeAnswerSchema = zod.object({
  isRunning: zod.boolean(),
  tokensCount: zod.number(),
});

export const takeOverSchema = zod.object({
  requestId: zod.string(),
  /** The highest attempt that the new owner knows of. */
  attempt: zod.number(),
  newOwnerVm: zod.string(),
});

export const takeOverAnswerSchema = zod.object({ snapshot: snapshotSchema.nullable() });

export const locateSchema = zod.object({ requestId: zod.string() });

/** What a VM is to a generation. */
export enum HolderRole {
  Owner = "owner",
  Keeper = "keeper",
  Home = "home",
  None = "none",
}

export const locateAnswerSchema = zod.object({
  role: zod.enum(HolderRole),
  ownerVm: zod.string().nullable(),
  homeVm: zod.string().nullable(),
  accountName: zod.string().nullable(),
  attempt: zod.number(),
  tokensCount: zod.number(),
});

export const readSchema = zod.object({
  requestId: zod.string(),
  accountName: zod.string(),
  fromOffset: zod.number(),
  waitMs: zod.number(),
});

export const readAnswerSchema = zod.object({
  /** False where this VM does not answer for the generation; the rest says nothing then. */
  isOwner: zod.boolean(),
  /** Whether the tokens asked for would come from another sampling than those before them. */
  isSpliced: zod.boolean(),
  attempt: zod.number(),
  samplingAttempt: zod.number(),
  tokens: zod.array(zod.string()).readonly(),
  finishReason: zod.enum(backendTypes.FinishReason).nullable(),
  failure: zod
    .object({
      message: zod.string(),
      code: zod.enum(stepError.ErrorCode),
      step: zod.string(),
      retryAfterMs: zod.number().nullable(),
    })
    .nullable(),
});

export const roomSchema = zod.object({ engineName: zod.string(), freeTokens: zod.number() });

/** The most urgent request of one model that a VM has waiting. */
export const waitingItemSchema = zod.object({
  model: zod.string(),
  version: zod.string(),
  adapter: zod.string().nullable(),
  requestId: zod.string(),
  /** Class rank after ageing; lower is more urgent. */
  rank: zod.number(),
  deadlineInMs: zod.number(),
});

export type GenerationSnapshot = zod.infer<typeof snapshotSchema>;
export type RunLocation = zod.infer<typeof runLocationSchema>;
export type DispatchRequest = zod.infer<typeof dispatchSchema>;
export type DispatchAnswer = zod.infer<typeof dispatchAnswerSchema>;
export type WaitingItem = zod.infer<typeof waitingItemSchema>;
export type CancelRequest = zod.infer<typeof cancelSchema>;
export type RunEnded = zod.infer<typeof runEndedSchema>;
export type HoldAnswer = zod.infer<typeof holdAnswerSchema>;
export type ReadAnswer = zod.infer<typeof readAnswerSchema>;
export type LocateAnswer = zod.infer<typeof locateAnswerSchema>;
