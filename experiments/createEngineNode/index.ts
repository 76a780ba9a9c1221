import type * as clocks from "../../src/_lib/clock/index.js";
import type * as randoms from "../../src/_lib/random/index.js";
import * as engineModels from "../../standins/engine/model/index.js";
import * as engineNodes from "../engineNode/index.js";
import type * as entryVms from "../entryVm/index.js";
import * as liveRequests from "../liveRequest/index.js";
import type * as policies from "../policies/index.js";
import type * as recorders from "../recorder/index.js";
import type * as types from "../types.js";

/** Which engine is created. */
export interface EnginePlace {
  readonly group: types.EngineGroup;
  readonly index: number;
  readonly homeVmIndex: number;
  readonly random: randoms.RandomSource;
}

/** The run that the engine belongs to. */
export interface EngineSurroundings {
  readonly policy: policies.Policy;
  readonly entries: readonly types.WorkloadEntry[];
  readonly home: entryVms.EntryVm;
  readonly clock: clocks.Clock;
  readonly recorder: recorders.Recorder;
  readonly listener: engineNodes.EngineNodeListener;
  readonly planOf: ReadonlyMap<string, types.PlannedRequest>;
}

/** Creates an engine of a run, with the scheduler that the policy gives its home. */
export function createEngineNode(
  place: EnginePlace,
  surroundings: EngineSurroundings,
): engineNodes.EngineNode {
  const { clock, listener, recorder } = surroundings;
  const name = `${place.group.model}-${place.index}`;
  return new engineNodes.EngineNode({
    name,
    homeVmIndex: place.homeVmIndex,
    model: createModel(name, place, surroundings),
    scheduler: createScheduler(name, place, surroundings),
    recorder,
    listener,
    nowMs: () => clock.nowMs(),
  });
}

function createModel(
  name: string,
  place: EnginePlace,
  surroundings: EngineSurroundings,
): engineModels.EngineModel {
  const { planOf, clock } = surroundings;
  const { model, engine } = place.group;
  const options = {
    ...engine,
    name,
    loadedModels: [{ model, version: liveRequests.VERSION, adapters: [] }],
    lengthOf: (request: { requestId: string }) => planOf.get(request.requestId)?.trueTokens ?? 1,
    promptTokensOf: (request: { requestId: string }) =>
      planOf.get(request.requestId)?.promptTokens ?? 1,
  };
  return new engineModels.EngineModel(options, clock, place.random);
}

function createScheduler(
  name: string,
  place: EnginePlace,
  surroundings: EngineSurroundings,
): ReturnType<policies.Policy["createScheduler"]> {
  const { policy, home, planOf, entries } = surroundings;
  const bounds = new Map(entries.map((entry) => [entry.name, entry.interTokenBoundMs]));
  return policy.createScheduler({
    engineName: name,
    dataCentre: home.dataCentre,
    capacityTokens: place.group.engine.capacityTokens,
    maxRunningCount: place.group.engine.maxRunningCount,
    lengths: home.learner,
    interTokenBoundMsOf: (entryName) => bounds.get(entryName) ?? null,
    trueTokensOf: (requestId) => planOf.get(requestId)?.trueTokens ?? 1,
  });
}
