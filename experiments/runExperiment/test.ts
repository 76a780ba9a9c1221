import tap from "tap";

import * as policies from "../policies/index.js";
import * as scenarios from "../scenarios/index.js";
import type * as types from "../types.js";
import * as runs from "./index.js";

const SEED = 7;
const TIMEOUT_MS = 240_000;

type Asserter = Pick<typeof tap, "equal">;

/** Size of a run: engines of the first group, VMs, and the time in which requests arrive. */
interface ExperimentSize {
  readonly enginesCount: number;
  readonly vmsCount: number;
  readonly durationMs: number;
}

const SMALL: ExperimentSize = { enginesCount: 2, vmsCount: 3, durationMs: 600_000 };
const LARGE: ExperimentSize = { enginesCount: 8, vmsCount: 7, durationMs: 300_000 };
const SHORT: ExperimentSize = { enginesCount: 10, vmsCount: 8, durationMs: 150_000 };
const TINY: ExperimentSize = { enginesCount: 3, vmsCount: 3, durationMs: 120_000 };

tap.setTimeout(TIMEOUT_MS);

function createExperiment(name: string, size: ExperimentSize): types.Experiment {
  const experiment = scenarios.EXPERIMENTS.get(name);
  if (experiment === undefined) throw new RangeError(`no experiment ${name}`);
  const { workload, disturbances } = experiment;
  const { durationMs, vmsCount, enginesCount } = size;
  const groups = workload.groups.map((group, index) => ({
    ...group,
    count: index === 0 ? enginesCount : 1,
  }));
  const first = disturbances.slice(0, 1).map((item) => ({ ...item, atMs: durationMs / 2 }));
  const small = { ...workload, groups, vmsCount };
  return { ...experiment, workload: small, durationMs, disturbances: first };
}

function run(
  experimentName: string,
  policyName: string,
  load: number,
  size: ExperimentSize,
): types.RunOutcome {
  const policy = policies.POLICIES.get(policyName);
  if (policy === undefined) throw new RangeError(`no policy ${policyName}`);
  const experiment = createExperiment(experimentName, size);
  return runs.runExperiment(experiment, policy, { seed: SEED, load });
}

function checkAllServed(t: Asserter, outcome: types.RunOutcome): void {
  t.equal(outcome.result.lostCount, 0);
  for (const [name, item] of outcome.classes) {
    t.equal(item.completedCount, item.offeredCount, `every ${name} request completes`);
  }
}

tap.test("equal seeds give equal results", (t) => {
  const first = run("varahoidja", "chiveferry", 0.9, TINY);
  const second = run("varahoidja", "chiveferry", 0.9, TINY);
  t.same(second.result, first.result);
  t.end();
});

tap.test("the total stall time is at most a fifth of that under least-loaded", (t) => {
  const chiveferry = run("varahoidja", "chiveferry", 0.9, LARGE).result;
  const leastLoaded = run("varahoidja", "least-loaded", 0.9, LARGE).result;
  t.ok(leastLoaded.stallTimeTotalMs > 0);
  t.ok(chiveferry.stallTimeTotalMs <= 0.2 * leastLoaded.stallTimeTotalMs);
  t.end();
});

tap.test("at load 1.1, preemptions and tokens per second meet their targets", (t) => {
  const chiveferry = run("varahoidja", "chiveferry", 1.1, SMALL);
  const leastLoaded = run("varahoidja", "least-loaded", 1.1, SMALL).result;
  const oracle = run("varahoidja", "oracle", 1.1, SMALL).result;
  const maxTokens = run("varahoidja", "max-tokens", 1.1, SMALL).result;
  const { result } = chiveferry;
  t.ok(leastLoaded.preemptionsCount > 50, "engine memory is exhausted under least-loaded");
  t.ok(result.preemptionsCount <= 0.05 * leastLoaded.preemptionsCount);
  t.ok(result.tokensPerSecond >= 0.95 * oracle.tokensPerSecond);
  t.ok(result.tokensPerSecond >= 1.3 * maxTokens.tokensPerSecond);
  t.ok(result.interTokenP99Ms <= 1.15 * oracle.interTokenP99Ms);
  checkAllServed(t, chiveferry);
  t.end();
});

tap.test("at load 0.7, the tail latency between tokens meets its targets", (t) => {
  const chiveferry = run("gauja", "chiveferry", 0.7, SHORT);
  const leastLoaded = run("gauja", "least-loaded", 0.7, SHORT).result;
  const oracle = run("gauja", "oracle", 0.7, SHORT).result;
  t.ok(chiveferry.result.interTokenP99Ms <= 0.7 * leastLoaded.interTokenP99Ms);
  t.ok(chiveferry.result.interTokenP99Ms <= 1.15 * oracle.interTokenP99Ms);
  checkAllServed(t, chiveferry);
  t.end();
});

tap.test("every accepted request completes when an engine fails or is reclaimed", (t) => {
  checkAllServed(t, run("engine-loss", "chiveferry", 0.7, TINY));
  checkAllServed(t, run("reclaim", "chiveferry", 0.7, TINY));
  t.end();
});
