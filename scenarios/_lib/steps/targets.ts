import type * as scenarioRuns from "../scenarioRun/index.js";

/** The VM or stand-in that a step acts on. */
export interface Target {
  readonly kind: "vm" | "stand-in";
  readonly name: string;
}

type TargetFinder = (
  run: scenarioRuns.ScenarioRun,
  requestName: string,
) => string | Promise<string>;

const TARGET_FINDERS: Readonly<Record<string, TargetFinder>> = {
  "engine-of": findEngine,
  "home-of": findHome,
  "entry-of": findEntryVm,
};

/**
 * Resolves a target: a VM or stand-in by name, or the engine, home or entry VM of a request, for
 * example `engine-of:draft`.
 */
export async function findTarget(run: scenarioRuns.ScenarioRun, target: string): Promise<Target> {
  const [prefix = "", requestName = ""] = target.split(":");
  const name = (await TARGET_FINDERS[prefix]?.(run, requestName)) ?? target;
  return { kind: run.vms.has(name) ? "vm" : "stand-in", name };
}

/** Finds the engine that reports a run of the request. */
function findEngine(run: scenarioRuns.ScenarioRun, requestName: string): string {
  const requestId = getRequestId(run, requestName);
  for (const [name, engine] of run.world.engines) {
    const runs = engine.model.batch.listReportedRuns();
    if (runs.some((item) => item.requestId === requestId)) return name;
  }
  throw new Error(`no engine runs request ${requestName}`);
}

/** Finds the home of the engine that runs the request. */
async function findHome(run: scenarioRuns.ScenarioRun, requestName: string): Promise<string> {
  const engineName = findEngine(run, requestName);
  for (const vm of run.runningVms()) {
    const backends = await run.adminOf(vm).listBackends();
    const home = backends.value.find((backend) => backend.name === engineName)?.home;
    if (home !== undefined && home !== null) return home;
  }
  throw new Error(`engine ${engineName} has no home`);
}

function findEntryVm(run: scenarioRuns.ScenarioRun, requestName: string): string {
  const entry = run.caller(requestName).vmName;
  if (entry === null) throw new Error(`request ${requestName} was sent to no VM`);
  return entry;
}

function getRequestId(run: scenarioRuns.ScenarioRun, requestName: string): string {
  const { requestId } = run.caller(requestName);
  if (requestId === null) throw new Error(`request ${requestName} has no request id yet`);
  return requestId;
}
