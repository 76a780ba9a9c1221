import * as engineTypes from "../../../../../standins/engine/types.js";
import * as callers from "../../../../../standins/vms/caller/index.js";
import * as vms from "../../../../../standins/vms/index.js";

const TRIALS_COUNT = 20;
const RUN_MS = 10_000;

/** Time from the last token before a death to the first after it. */
export interface RecoveryTimes {
  readonly death: string;
  readonly medianMs: number;
  readonly maxMs: number;
  readonly wholeCount: number;
}

type Death = (group: vms.VmGroup, caller: callers.Caller, entry: string) => void;

const DEATHS: Readonly<Record<string, Death>> = {
  engine: (group) => {
    group.engine(runningEngine(group)).inject(engineTypes.EngineFault.Dead);
  },
  home: (group) => {
    const [home] = callers.homeAndOthers(group, runningEngine(group));
    group.killVm(home);
  },
  entry: (group, caller, entry) => {
    group.killVm(entry);
    void caller.attach(group.runningVms()[0] ?? "");
  },
};

/** Recovery on the virtual clock, links of 1 ms, the dead VM's connections broken at once. */
export async function measureRecovery(): Promise<readonly RecoveryTimes[]> {
  const results: RecoveryTimes[] = [];
  for (const [death, bringAbout] of Object.entries(DEATHS)) {
    const gapsMs: number[] = [];
    let wholeCount = 0;
    for (let seed = 1; seed <= TRIALS_COUNT; seed += 1) {
      const caller = await runTrial(seed, bringAbout);
      gapsMs.push(callers.longestGapMs(caller));
      if (caller.finishReason !== null && callers.isOneSampling(caller.tokens)) wholeCount += 1;
    }
    gapsMs.sort((left, right) => left - right);
    const medianMs = gapsMs[Math.floor(gapsMs.length / 2)] ?? 0;
    results.push({ death, medianMs, maxMs: gapsMs.at(-1) ?? 0, wholeCount });
  }
  return results;
}

/** The entry is a VM that is no engine's home, so that each death takes one role alone. */
async function runTrial(seed: number, bringAbout: Death): Promise<callers.Caller> {
  const engines = { e1: "dc1", e2: "dc1", e3: "dc1" };
  await using group = new vms.VmGroup({
    vms: { a: "dc1", b: "dc1", c: "dc1", d: "dc1" },
    engines,
    seed,
  });
  const homes = Object.keys(engines).map((name) => callers.homeAndOthers(group, name)[0]);
  const entry = group.runningVms().find((name) => !homes.includes(name));
  if (entry === undefined) throw new Error("every VM is the home of some engine");
  const caller = await callers.startAt(group, entry);
  bringAbout(group, caller, entry);
  await group.clock.runForMs(RUN_MS);
  return caller;
}

/** The engine that runs the generation. */
function runningEngine(group: vms.VmGroup): string {
  const running = group.runningVms().flatMap((name) => group.vm(name).service.describeEngines());
  return running.find((engine) => engine.runs.length > 0)?.view.name ?? "e1";
}
