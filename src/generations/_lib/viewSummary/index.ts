import * as crypto from "node:crypto";

import * as zod from "zod";

import * as engines from "../../../engines/index.js";

/** Number of steps in which the reserved ratio of an engine's memory is encoded. */
const RESERVED_STEPS = 16;

/** Change of the running count that has the same size as one step of reserved memory. */
const RUNNING_COUNT_PER_STEP = 4;

/** Number of steps per doubling in which an engine's step time is encoded. */
const STEP_TIME_STEPS_PER_DOUBLING = 2;

/** Properties of an engine that rarely change. */
export const profileSchema = zod.object({
  id: zod.number(),
  name: zod.string(),
  dataCentre: zod.string(),
  capacityTokens: zod.number(),
  loadedModels: zod.array(
    zod.object({ model: zod.string(), version: zod.string(), adapters: zod.array(zod.string()) }),
  ),
});

/** Id, health, reserved memory, running count and step time of an engine, as integers. */
export const changeSchema = zod.tuple([
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
]);

/** A home's update of its engine views: only what changed since the last one. */
export const viewUpdateSchema = zod.object({
  profiles: zod.array(profileSchema),
  changes: zod.array(changeSchema),
});

/** See `profileSchema`. */
export type EngineProfile = zod.infer<typeof profileSchema>;
/** See `changeSchema`. */
export type EngineChange = zod.infer<typeof changeSchema>;
/** See `viewUpdateSchema`. */
export type ViewUpdate = zod.infer<typeof viewUpdateSchema>;

/** Health states by the index that represents them in a change; part of the message format. */
const HEALTH_STATES = Object.values(engines.EngineHealth);

/** Hashes an engine's name to the 32-bit id that identifies it in changes. */
export function computeEngineId(engineName: string): number {
  return crypto.createHash("sha1").update(engineName).digest().readUInt32BE(0);
}

/** Creates an engine's profile from its view. */
export function createProfile(view: engines.EngineView): EngineProfile {
  const { name, dataCentre, capacityTokens } = view;
  const loadedModels = view.loadedModels.map((item) => ({ ...item, adapters: [...item.adapters] }));
  return { id: computeEngineId(name), name, dataCentre, capacityTokens, loadedModels };
}

/** Encodes an engine's load in coarse steps, so that small changes need no message. */
export function encodeChange(view: engines.EngineView): EngineChange {
  const reservedRatio = view.reservedTokens / Math.max(1, view.capacityTokens);
  return [
    computeEngineId(view.name),
    HEALTH_STATES.indexOf(view.health),
    Math.ceil(reservedRatio * RESERVED_STEPS),
    view.runningCount,
    Math.round(Math.log2(Math.max(1, view.stepTimeMs)) * STEP_TIME_STEPS_PER_DOUBLING),
  ];
}

/** Computes the size of a change, its priority; a change of health has infinite size. */
export function computeChangeSize(before: EngineChange | undefined, after: EngineChange): number {
  if (before?.[1] !== after[1]) return Infinity;
  const [, , reservedSteps, runningCount, stepTimeSteps] = after;
  return (
    Math.abs(before[2] - reservedSteps) +
    Math.abs(before[3] - runningCount) / RUNNING_COUNT_PER_STEP +
    Math.abs(before[4] - stepTimeSteps)
  );
}

/** Decodes a view from an engine's profile and its latest change. */
export function decodeView(profile: EngineProfile, change: EngineChange): engines.EngineView {
  const [, health, reservedSteps, runningCount, stepTimeSteps] = change;
  return {
    name: profile.name,
    dataCentre: profile.dataCentre,
    health: HEALTH_STATES[health] ?? engines.EngineHealth.Suspect,
    capacityTokens: profile.capacityTokens,
    reservedTokens: (reservedSteps / RESERVED_STEPS) * profile.capacityTokens,
    runningCount,
    waitingCount: 0,
    stepTimeMs: 2 ** (stepTimeSteps / STEP_TIME_STEPS_PER_DOUBLING),
    loadedModels: profile.loadedModels,
    ageMs: 0,
    sentSinceTokens: 0,
    sentSinceCount: 0,
  };
}
