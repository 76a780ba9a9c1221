import * as engines from "../../../engines/index.js";
import type * as types from "../../types.js";
import type * as engineHomes from "../engineHome/index.js";
import type * as engineRuns from "../engineRun/index.js";
import type * as locators from "../locator/index.js";

/** Counts the generations, runs and replicas that this VM holds. */
export function describeHeld(roles: locators.RoleHandlers): types.HeldSummary {
  const owned = roles.owner.list().filter((generation) => generation.isCurrentOwner);
  const unfinished = owned.filter((generation) => !generation.record.isSettled);
  const waitingCount = unfinished.filter((generation) => generation.isWaiting).length;
  return {
    runningCount: unfinished.length - waitingCount,
    waitingCount,
    retainedFinishedCount: owned.length - unfinished.length,
    engineRunsCount: roles.home.listRuns().filter((run) => !run.isEnded).length,
    replicasCount: roles.standby.count,
    unfinishedRequestIds: unfinished.map((generation) => generation.record.requestId),
  };
}

/** Describes this VM's engines and their runs, and why an engine accepts no work. */
export function describeEngines(
  roles: locators.RoleHandlers,
  nowMs: number,
): readonly types.EngineStatus[] {
  return roles.home.listHomes().map((home) => ({
    view: home.createView(nowMs),
    refusalReason: describeRefusal(home, nowMs),
    runs: [...home.runs.values()]
      .filter((run) => !run.isEnded)
      .map((run) => describeRun(run, nowMs)),
  }));
}

/** Describes the generations that wait at this VM, with the reasons. */
export function describeQueue(
  roles: locators.RoleHandlers,
  nowMs: number,
): readonly types.WaitingGeneration[] {
  return roles.owner
    .list()
    .filter((generation) => generation.isWaiting && generation.isActive)
    .map((generation) => ({
      requestId: generation.record.requestId,
      entryName: generation.record.request.entry.name,
      accountName: generation.record.request.accountName,
      waitedMs: nowMs - generation.acceptedAtMs,
      producedTokens: generation.record.tokens.length,
      reason: generation.waitingReason,
    }));
}

function describeRefusal(home: engineHomes.EngineHome, nowMs: number): string | null {
  const { health, reservedTokens, capacityTokens } = home.createView(nowMs);
  if (health !== engines.EngineHealth.Live) return `engine ${home.engine.name} is ${health}`;
  if (reservedTokens < capacityTokens) return null;
  return `${Math.round(reservedTokens)} of ${capacityTokens} tokens of memory are reserved`;
}

function describeRun(run: engineRuns.EngineRun, nowMs: number): types.RunStatus {
  return {
    requestId: run.requestId,
    entryName: run.request.entry.name,
    attempt: run.attempt,
    ownerVm: run.ownerVm,
    producedTokens: run.tokens.length,
    isPreempted: run.isPreempted,
    silentMs: nowMs - run.lastProgressAtMs,
  };
}
