import type * as scenarioRuns from "../scenarioRun/index.js";

/** A VM or a stand-in that a step aims at. */
export interface Target {
  readonly kind: "vm" | "stand-in";
  readonly name: string;
}

type Finder = (run: scenarioRuns.ScenarioRun, requestName: string) => string | Promise<string>;

const FINDERS: Readonly<Record<string, Finder>> = {
  "engine-of": engineOf,
  "home-of": homeOf,
  "entry-of": entryOf,
};

/**
 * Finds what a target names: a VM, a stand-in, or the engine, home or entry VM of a request, e.g.
 * `engine-of:draft`.
 */
export async function findTarget(run: scenarioRuns.ScenarioRun, target: string): Promise<Target> {
  const [prefix = "", requestName = ""] = target.split(":");
  const name = (await FINDERS[prefix]?.(run, requestName)) ?? target;
  return { kind: run.vms.has(name) ? "vm" : "stand-in", name };
}

/** The engine that runs the request, as the engines themselves report it. */
function engineOf(run: scenarioRuns.ScenarioRun, requestName: string): string {
  const requestId = requestIdOf(run, requestName);
  for (const [name, engine] of run.world.engines) {
    const runs = engine.model.batch.reportedRuns();
    if (runs.some((item) => item.requestId === requestId)) return name;
  }
  throw new Error(`no engine runs ${requestName}`);
}

/** The VM that looks after the engine which runs the request. */
async function homeOf(run: scenarioRuns.ScenarioRun, requestName: string): Promise<string> {
  const engineName = engineOf(run, requestName);
  for (const vm of run.runningVms()) {
    const backends = await run.adminOf(vm).listBackends();
    const home = backends.value.find((backend) => backend.name === engineName)?.home;
    if (home !== undefined && home !== null) return home;
  }
  throw new Error(`${engineName} has no home`);
}

function entryOf(run: scenarioRuns.ScenarioRun, requestName: string): string {
  const entry = run.caller(requestName).vmName;
  if (entry === null) throw new Error(`${requestName} was sent to no VM`);
  return entry;
}

function requestIdOf(run: scenarioRuns.ScenarioRun, requestName: string): string {
  const { requestId } = run.caller(requestName);
  if (requestId === null) throw new Error(`${requestName} has no request id yet`);
  return requestId;
}
