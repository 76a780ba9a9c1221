import * as neverthrow from "neverthrow";

import * as stepError from "../../_lib/stepError/index.js";
import type * as calls from "../../calls/index.js";
import * as catalogue from "../../catalogue/index.js";
import type * as generations from "../../generations/index.js";
import type * as http from "../../http/index.js";

/**
 * Describes the engines whose home is this VM.
 *
 * @param homeVm - the name of this VM
 * @param engines - the state of these engines
 */
export function describeEngineBackends(
  homeVm: string,
  engines: readonly generations.EngineStatus[],
): readonly http.BackendDescription[] {
  return engines.map(({ view, runs, refusalReason }) => ({
    name: view.name,
    kind: "engine",
    dataCentre: view.dataCentre,
    home: homeVm,
    state: view.health,
    reservedRatio: view.reservedTokens / view.capacityTokens,
    runningCount: runs.length,
    detail: refusalReason ?? "takes work",
  }));
}

/**
 * Describes the plain servers as one VM sees them through its own requests.
 *
 * @param vm - the name of this VM
 */
export function describeServiceBackends(
  vm: string,
  { servers }: calls.CallsDescription,
): readonly http.BackendDescription[] {
  return servers.map((server) => ({
    name: server.name,
    kind: "service",
    dataCentre: server.dataCentre,
    home: null,
    state: server.health,
    reservedRatio: null,
    runningCount: server.inFlightCount,
    detail: `${server.failuresCount} consecutive failures at ${vm}`,
  }));
}

/**
 * Merges the views of all VMs into one description per backend server of the catalogue. Where
 * several VMs describe a server, an unhealthy view takes precedence, and the running counts are
 * added up. A server without a view is described from its catalogue item.
 */
export function mergeBackends(
  state: catalogue.CatalogueState,
  views: readonly http.BackendDescription[],
): readonly http.BackendDescription[] {
  const byName = new Map<string, http.BackendDescription>();
  for (const backend of views) {
    const known = byName.get(backend.name);
    byName.set(backend.name, known === undefined ? backend : mergeViews(known, backend));
  }
  const listed = [...state.items.values()].flatMap(({ item }) => describeItem(item));
  return listed.map((backend) => byName.get(backend.name) ?? backend);
}

/** Converts the outcome of a proposed change to its new revision, or to a conflict error. */
export function toAcceptedChange(
  record: catalogue.ChangeRecord,
  outcome: catalogue.ProposalOutcome,
): neverthrow.Result<http.AcceptedChange, stepError.StepError> {
  if (outcome.isAccepted && outcome.currentRevision !== null) {
    return neverthrow.ok({ changeId: record.changeId, revision: outcome.currentRevision });
  }
  if (outcome.isAccepted && outcome.offset !== null) {
    return neverthrow.ok({ changeId: record.changeId, revision: outcome.offset });
  }
  const current = outcome.currentRevision ?? "none";
  const message = `${record.kind}/${record.name}: ${outcome.reason}; current revision: ${current}`;
  return neverthrow.err(
    new stepError.StepError(message, {
      code: stepError.ErrorCode.Conflict,
      step: "catalogue.propose",
      execution: stepError.ExecutionState.NotRun,
    }),
  );
}

/** Converts one entry of an item's history to the admin API's form. */
export function describeChange(entry: catalogue.ItemHistoryEntry): http.HistoryLine {
  const { operator, changeId, baseRevision, item } = entry.change;
  return {
    offset: entry.offset,
    atWallMs: entry.appendedAtWallMs,
    operator,
    changeId,
    baseRevision,
    item,
  };
}

function describeItem(item: catalogue.CatalogueItem): readonly http.BackendDescription[] {
  const isEngine = item.kind === catalogue.ItemKind.Engine;
  if (!isEngine && item.kind !== catalogue.ItemKind.Service) return [];
  return [
    {
      name: item.name,
      kind: isEngine ? "engine" : "service",
      dataCentre: item.dataCentre,
      home: null,
      state: item.state,
      reservedRatio: null,
      runningCount: null,
      detail: isEngine ? "no VM reported it" : "no VM has used it yet",
    },
  ];
}

function mergeViews(
  left: http.BackendDescription,
  right: http.BackendDescription,
): http.BackendDescription {
  const worse = left.state === "healthy" ? right : left;
  const runningCount = (left.runningCount ?? 0) + (right.runningCount ?? 0);
  return { ...worse, runningCount };
}
