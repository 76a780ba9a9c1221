import type * as clocks from "../../src/_lib/clock/index.js";
import type * as randoms from "../../src/_lib/random/index.js";
import * as engineModels from "../../standins/engine/model/index.js";
import * as engineNodes from "../engineNode/index.js";
import type * as entryVms from "../entryVm/index.js";
import * as liveRequests from "../liveRequest/index.js";
import type * as policies from "../policies/index.js";
import type * as recorders from "../recorder/index.js";
import type * as types from "../types.js";

/** The engine to create and its home VM. */
export interface EnginePlacement {
  readonly group: types.EngineGroup;
  readonly index: number;
  readonly homeVmIndex: number;
  readonly random: randoms.RandomSource;
}

/** The parts of the experiment run that an engine node uses. */
export interface EngineNodeContext {
  readonly policy: policies.Policy;
  readonly entries: readonly types.WorkloadEntry[];
  readonly home: entryVms.EntryVm;
  readonly clock: clocks.Clock;
  readonly recorder: recorders.Recorder;
  readonly listener: engineNodes.EngineNodeListener;
  readonly planByRequestId: ReadonlyMap<string, types.PlannedRequest>;
}

/** Creates an engine node with a scheduler of the policy and the learned lengths of its home VM. */
export function createEngineNode(
  placement: EnginePlacement,
  context: EngineNodeContext,
): engineNodes.EngineNode {
  const { clock, listener, recorder } = context;
  const name = `${placement.group.model}-${placement.index}`;
  return new engineNodes.EngineNode({
    name,
    homeVmIndex: placement.homeVmIndex,
    model: createModel(name, placement, context),
    scheduler: createScheduler(name, placement, context),
    recorder,
    listener,
    nowMs: () => clock.nowMs(),
  });
}

function createModel(
  name: string,
  placement: EnginePlacement,
  context: EngineNodeContext,
): engineModels.EngineModel {
  const { planByRequestId, clock } = context;
  const { model, engine } = placement.group;
  const options = {
    ...engine,
    name,
    loadedModels: [{ model, version: liveRequests.MODEL_VERSION, adapters: [] }],
    lengthOf: (request: { requestId: string }) =>
      planByRequestId.get(request.requestId)?.trueTokens ?? 1,
    promptTokensOf: (request: { requestId: string }) =>
      planByRequestId.get(request.requestId)?.promptTokens ?? 1,
  };
  return new engineModels.EngineModel(options, clock, placement.random);
}

function createScheduler(
  name: string,
  placement: EnginePlacement,
  context: EngineNodeContext,
): ReturnType<policies.Policy["createScheduler"]> {
  const { policy, home, planByRequestId, entries } = context;
  const bounds = new Map(entries.map((entry) => [entry.name, entry.interTokenBoundMs]));
  return policy.createScheduler({
    engineName: name,
    dataCentre: home.dataCentre,
    capacityTokens: placement.group.engine.capacityTokens,
    maxRunningCount: placement.group.engine.maxRunningCount,
    lengths: home.learner,
    interTokenBoundMsOf: (entryName) => bounds.get(entryName) ?? null,
    trueTokensOf: (requestId) => planByRequestId.get(requestId)?.trueTokens ?? 1,
  });
}
