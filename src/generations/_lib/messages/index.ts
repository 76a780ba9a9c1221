import * as zod from "zod";

import * as stepError from "../../../_lib/stepError/index.js";
import * as backendTypes from "../../../backends/types.js";
import * as catalogueTypes from "../../../catalogue/types.js";

/** Methods of the messages between generation services of different VMs. */
export enum Method {
  StoreReplica = "generations/keep",
  Forget = "generations/forget",
  Located = "generations/located",
  ReplicateFrames = "generations/copy-frames",
  ReplicaAcks = "generations/copied",
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
  CapacityOffer = "generations/room",
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

/** A caller's request as sent between VMs. */
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
  /** The attempt number that identifies the stream at the engine. */
  engineAttempt: zod.number(),
});

/** A holder's complete state of a generation. */
export const snapshotSchema = zod.object({
  request: requestSchema,
  ownerVm: zod.string(),
  keeperVm: zod.string().nullable(),
  attempt: zod.number(),
  /** The attempt whose sampling the tokens come from. */
  samplingAttempt: zod.number(),
  tokens: zod.array(zod.string()),
  /** Number of suspensions by homes, so that the next home avoids another one. */
  suspensionsCount: zod.int().min(0),
  finishReason: zod.enum(backendTypes.FinishReason).nullable(),
  run: runLocationSchema.nullable(),
});

/** Whether a standby stored a replica; false if it knows a newer attempt. */
export const storeReplicaAnswerSchema = zod.object({
  isHeld: zod.boolean(),
  attempt: zod.number(),
  ownerVm: zod.string(),
});

/** A request to a home to start, resume or adopt a run. */
export const dispatchSchema = zod.object({
  snapshot: snapshotSchema,
  engineName: zod.string(),
  /** Attempt number of the engine's stream to resume; null to start a new one. */
  resumeAttempt: zod.number().nullable(),
  /** Whether the home offered capacity for this request, or suspended its last run. */
  isOffered: zod.boolean(),
});

/** A home's decision about a dispatch. */
export enum DispatchVerdict {
  Admitted = "admitted",
  Wait = "wait",
  Refused = "refused",
  /** The engine cannot accept work: it leaves, is dead or not in the catalogue. */
  Unavailable = "unavailable",
  /** The home knows a newer attempt. */
  Superseded = "superseded",
}

/** A home's answer to a dispatch, with the attempt and owner that it knows. */
export const dispatchAnswerSchema = zod.object({
  verdict: zod.enum(DispatchVerdict),
  reason: zod.string(),
  estimatedWaitMs: zod.number(),
  attempt: zod.number(),
  ownerVm: zod.string(),
});

/** Why a run ended before its generation was finished. */
export enum RunEndKind {
  EngineLost = "engine-lost",
  EngineStalled = "engine-stalled",
  EngineLeaving = "engine-leaving",
  Suspended = "suspended",
  Superseded = "superseded",
  HomeLeaving = "home-leaving",
}

/** A home's notification to the owner that a run ended before its generation was finished. */
export const runEndedSchema = zod.object({
  requestId: zod.string(),
  attempt: zod.number(),
  kind: zod.enum(RunEndKind),
  reason: zod.string(),
});

/** One attempt of a generation. */
export const attemptSchema = zod.object({ requestId: zod.string(), attempt: zod.number() });

/** An owner's notification to its standby of where a generation runs. */
export const locatedSchema = attemptSchema.extend({ run: runLocationSchema });

/** An offset in one attempt of a generation. */
export const offsetSchema = attemptSchema.extend({ offset: zod.number() });

/** An owner's request to a home to cancel a run. */
export const cancelSchema = attemptSchema.extend({
  /** The engine's stream that another run has resumed and that must not be cancelled, if any. */
  keptStream: runLocationSchema.nullable(),
});

/** An owner's grant of credit to a run. */
export const creditSchema = attemptSchema.extend({
  /** Offset up to which tokens may be sent; null for no bound. */
  offset: zod.number().nullable(),
});

/** A home's answer to a probe of a run. */
export const probeAnswerSchema = zod.object({
  isRunning: zod.boolean(),
  tokensCount: zod.number(),
});

/** A new owner's request to a holder to hand a generation over. */
export const takeOverSchema = zod.object({
  requestId: zod.string(),
  /** First attempt of the new owner, above all attempts that it knows. */
  attempt: zod.number(),
  newOwnerVm: zod.string(),
});

/** A holder's state of a generation taken over; null if it holds none. */
export const takeOverAnswerSchema = zod.object({ snapshot: snapshotSchema.nullable() });

/** A query for the role of a VM for a generation. */
export const locateSchema = zod.object({ requestId: zod.string() });

/** Role of a VM for a generation. */
export enum HolderRole {
  Owner = "owner",
  Standby = "keeper",
  Home = "home",
  None = "none",
}

/** A VM's role for a generation, and what it knows of owner and home. */
export const locateAnswerSchema = zod.object({
  role: zod.enum(HolderRole),
  ownerVm: zod.string().nullable(),
  homeVm: zod.string().nullable(),
  accountName: zod.string().nullable(),
  attempt: zod.number(),
  tokensCount: zod.number(),
});

/** A request to an owner for tokens, with the longest wait for them. */
export const readSchema = zod.object({
  requestId: zod.string(),
  accountName: zod.string(),
  fromOffset: zod.number(),
  waitMs: zod.number(),
});

/** An owner's answer to a read. */
export const readAnswerSchema = zod.object({
  /** False if this VM does not own the generation; the other fields have no meaning then. */
  isOwner: zod.boolean(),
  /** Whether the requested tokens may come from another sampling than those before them. */
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

/** A home's offer of an engine's free memory to a VM with waiting requests. */
export const capacityOfferSchema = zod.object({
  engineName: zod.string(),
  freeTokens: zod.number(),
});

/** The most urgent request of one model that waits at a VM. */
export const waitingItemSchema = zod.object({
  model: zod.string(),
  version: zod.string(),
  adapter: zod.string().nullable(),
  requestId: zod.string(),
  /** Class rank after ageing; lower means more urgent. */
  rank: zod.number(),
  deadlineInMs: zod.number(),
});

/** See `snapshotSchema`. */
export type GenerationSnapshot = zod.infer<typeof snapshotSchema>;
/** See `runLocationSchema`. */
export type RunLocation = zod.infer<typeof runLocationSchema>;
/** See `dispatchSchema`. */
export type DispatchRequest = zod.infer<typeof dispatchSchema>;
/** See `dispatchAnswerSchema`. */
export type DispatchAnswer = zod.infer<typeof dispatchAnswerSchema>;
/** See `waitingItemSchema`. */
export type WaitingItem = zod.infer<typeof waitingItemSchema>;
/** See `cancelSchema`. */
export type CancelRequest = zod.infer<typeof cancelSchema>;
/** See `runEndedSchema`. */
export type RunEnded = zod.infer<typeof runEndedSchema>;
/** See `storeReplicaAnswerSchema`. */
export type StoreReplicaAnswer = zod.infer<typeof storeReplicaAnswerSchema>;
/** See `readAnswerSchema`. */
export type ReadAnswer = zod.infer<typeof readAnswerSchema>;
/** See `locateAnswerSchema`. */
export type LocateAnswer = zod.infer<typeof locateAnswerSchema>;
