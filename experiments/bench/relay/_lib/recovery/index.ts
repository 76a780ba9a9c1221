import * as engineTypes from "../../../../../standins/engine/types.js";
import * as callers from "../../../../../standins/vms/caller/index.js";
import * as vms from "../../../../../standins/vms/index.js";

const TRIALS_COUNT = 20;
const TRIAL_DURATION_MS = 10_000;

/**
 * Interruption of a stream by a failure: the time from the last token before it to the first after
 * it.
 */
export interface RecoveryTimes {
  readonly failedRole: string;
  readonly medianMs: number;
  readonly maxMs: number;
  /** Number of trials whose stream finished with tokens of a single sampling. */
  readonly completeCount: number;
}

type InjectFailure = (group: vms.VmGroup, caller: callers.Caller, entry: string) => void;

const FAILURES: Readonly<Record<string, InjectFailure>> = {
  engine: (group) => {
    group.engine(findRunningEngine(group)).inject(engineTypes.EngineFault.Dead);
  },
  home: (group) => {
    const [home] = callers.listHomeFirst(group, findRunningEngine(group));
    group.killVm(home);
  },
  entry: (group, caller, entry) => {
    group.killVm(entry);
    void caller.attach(group.runningVms()[0] ?? "");
  },
};

/**
 * Measures recovery on the virtual clock with a link latency of 1 ms. Connections to a failed VM
 * break immediately.
 */
export async function measureRecovery(): Promise<readonly RecoveryTimes[]> {
  const results: RecoveryTimes[] = [];
  for (const [failedRole, injectFailure] of Object.entries(FAILURES)) {
    const gapsMs: number[] = [];
    let completeCount = 0;
    for (let seed = 1; seed <= TRIALS_COUNT; seed += 1) {
      const caller = await runTrial(seed, injectFailure);
      gapsMs.push(callers.computeLongestGapMs(caller));
      if (caller.finishReason !== null && callers.isSingleSampling(caller.tokens))
        completeCount += 1;
    }
    gapsMs.sort((left, right) => left - right);
    const medianMs = gapsMs[Math.floor(gapsMs.length / 2)] ?? 0;
    results.push({ failedRole, medianMs, maxMs: gapsMs.at(-1) ?? 0, completeCount });
  }
  return results;
}

/** Submits at a VM that is not the home of any engine, so that a failure affects a single role. */
async function runTrial(seed: number, injectFailure: InjectFailure): Promise<callers.Caller> {
  const engines = { e1: "dc1", e2: "dc1", e3: "dc1" };
  await using group = new vms.VmGroup({
    vms: { a: "dc1", b: "dc1", c: "dc1", d: "dc1" },
    engines,
    seed,
  });
  const homes = Object.keys(engines).map((name) => callers.listHomeFirst(group, name)[0]);
  const entry = group.runningVms().find((name) => !homes.includes(name));
  if (entry === undefined)
    throw new Error("no entry VM available: every VM is the home of an engine");
  const caller = await callers.startGenerationAt(group, entry);
  injectFailure(group, caller, entry);
  await group.clock.runForMs(TRIAL_DURATION_MS);
  return caller;
}

/** Returns the name of the engine that runs the generation. */
function findRunningEngine(group: vms.VmGroup): string {
  const running = group.runningVms().flatMap((name) => group.vm(name).service.describeEngines());
  return running.find((engine) => engine.runs.length > 0)?.view.name ?? "e1";
}
