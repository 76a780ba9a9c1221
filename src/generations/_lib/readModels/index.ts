import * as engines from "../../../engines/types.js";
import type * as types from "../../types.js";
import type * as engineHomes from "../engineHome/index.js";
import type * as engineRuns from "../engineRun/index.js";
import type * as owneds from "../owned/index.js";

const REASON_OF_HEALTH: Readonly<Record<engines.EngineHealth, string>> = {
  [engines.EngineHealth.Live]: "",
  [engines.EngineHealth.Suspect]: "its load reports are missing",
  [engines.EngineHealth.Leaving]: "it is leaving",
  [engines.EngineHealth.Dead]: "it does not answer",
};

/** What a home holds on its engine, and why the engine takes or refuses work. */
export function describeEngine(
  home: engineHomes.EngineHome,
  nowMs: number,
): types.EngineDescription {
  const view = home.view(nowMs);
  const running = [...home.runs.values()].filter((run) => !run.isEnded).map(describeRun);
  const usedTokens = running.reduce((total, run) => total + run.contextTokens, 0);
  const freeTokens = Math.floor(view.capacityTokens - view.reservedTokens);
  const isLive = view.health === engines.EngineHealth.Live;
  const hasRoom = freeTokens > 0;
  const roomReason = hasRoom
    ? `${freeTokens} tokens are not reserved`
    : "all memory is reserved for the expected growth of what runs";
  return {
    name: view.name,
    dataCentre: view.dataCentre,
    health: view.health,
    takesWork: isLive && hasRoom,
    reason: isLive ? roomReason : REASON_OF_HEALTH[view.health],
    capacityTokens: view.capacityTokens,
    usedTokens,
    reservedTokens: Math.round(view.reservedTokens),
    stepTimeMs: view.stepTimeMs,
    running,
  };
}

/** A request that waits, and what for. */
export function describeWaiting(
  generation: owneds.OwnedGeneration,
  nowMs: number,
  wallTimeMs: number,
): types.WaitingDescription {
  const { request } = generation.record;
  return {
    requestId: request.requestId,
    entryName: request.entry.name,
    class: request.entry.class,
    accountName: request.accountName,
    waitedMs: nowMs - generation.acceptedAtMs,
    deadlineInMs: request.deadlineAtWallMs - wallTimeMs,
    reason: generation.waitingReason,
  };
}

function describeRun(run: engineRuns.EngineRun): types.EngineRunDescription {
  return {
    requestId: run.requestId,
    entryName: run.request.entry.name,
    contextTokens: run.request.promptTokens + run.tokens.length,
    producedTokens: run.tokens.length,
  };
}
