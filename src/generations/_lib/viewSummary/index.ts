import * as crypto from "node:crypto";

import * as zod from "zod";

import * as engines from "../../../engines/index.js";

/** Steps in which the reserved share of an engine's memory is told. */
const RESERVED_STEPS = 16;

/** Running generations that weigh as much as one step of reserved memory. */
const RUNNING_PER_STEP = 4;

/** Steps per doubling in which an engine's step time is told. */
const STEP_TIME_STEPS = 2;

/** What of an engine rarely changes. */
export const profileSchema = zod.object({
  id: zod.number(),
  name: zod.string(),
  dataCentre: zod.string(),
  capacityTokens: zod.number(),
  loadedModels: zod.array(
    zod.object({ model: zod.string(), version: zod.string(), adapters: zod.array(zod.string()) }),
  ),
});

/** Id, health, reserved share, running generations and step time, each as a small integer. */
export const changeSchema = zod.tuple([
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
]);

/** What a home tells other VMs about its engines: only what changed since it last did. */
export const viewUpdateSchema = zod.object({
  profiles: zod.array(profileSchema),
  changes: zod.array(changeSchema),
});

export type EngineProfile = zod.infer<typeof profileSchema>;
export type EngineChange = zod.infer<typeof changeSchema>;
export type ViewUpdate = zod.infer<typeof viewUpdateSchema>;

const HEALTHS = Object.values(engines.EngineHealth);

/** Short number that stands for an engine in changes. */
export function engineId(engineName: string): number {
  return crypto.createHash("sha1").update(engineName).digest().readUInt32BE(0);
}

export function createProfile(view: engines.EngineView): EngineProfile {
  const { name, dataCentre, capacityTokens } = view;
  const loadedModels = view.loadedModels.map((item) => ({ ...item, adapters: [...item.adapters] }));
  return { id: engineId(name), name, dataCentre, capacityTokens, loadedModels };
}

/** The engine's load in coarse steps, so that small movements need no message. */
export function createChange(view: engines.EngineView): EngineChange {
  const reservedRatio = view.reservedTokens / Math.max(1, view.capacityTokens);
  return [
    engineId(view.name),
    HEALTHS.indexOf(view.health),
    Math.ceil(reservedRatio * RESERVED_STEPS),
    view.runningCount,
    Math.round(Math.log2(Math.max(1, view.stepTimeMs)) * STEP_TIME_STEPS),
  ];
}

/** How much a change matters to choosers; a change of health most. */
export function changeSize(before: EngineChange | undefined, after: EngineChange): number {
  if (before?.[1] !== after[1]) return Infinity;
  const [, , reservedSteps, runningCount, stepTimeSteps] = after;
  return (
    Math.abs(before[2] - reservedSteps) +
    Math.abs(before[3] - runningCount) / RUNNING_PER_STEP +
    Math.abs(before[4] - stepTimeSteps)
  );
}

/** The view that a profile and the latest change describe. */
export function readView(profile: EngineProfile, change: EngineChange): engines.EngineView {
  const [, health, reservedSteps, runningCount, stepTimeSteps] = change;
  return {
    name: profile.name,
    dataCentre: profile.dataCentre,
    health: HEALTHS[health] ?? engines.EngineHealth.Suspect,
    capacityTokens: profile.capacityTokens,
    reservedTokens: (reservedSteps / RESERVED_STEPS) * profile.capacityTokens,
    runningCount,
    waitingCount: 0,
    stepTimeMs: 2 ** (stepTimeSteps / STEP_TIME_STEPS),
    loadedModels: profile.loadedModels,
    ageMs: 0,
    sentSinceTokens: 0,
    sentSinceCount: 0,
  };
}
