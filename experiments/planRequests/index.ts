import * as randoms from "../../src/_lib/random/index.js";
import * as maxRates from "../computeMaxRequestsPerSecond/index.js";
import * as draws from "../_lib/draws/index.js";
import type * as types from "../types.js";

/** Standard deviation of the logarithm of the time between arrivals; 1 gives bursts and pauses. */
const ARRIVAL_LOG_STANDARD_DEVIATION = 1;

/** Sample size for the mean demand of a workload. */
const DEMAND_SAMPLE_COUNT = 40_000;

type DrawnRequest = Omit<types.PlannedRequest, "requestId" | "atMs">;

/**
 * Generates the requests of a run; equal arguments give equal requests.
 *
 * @param load - mean arrival rate relative to the engines' capacity
 * @returns requests ordered by arrival time
 */
export function planRequests(
  experiment: types.Experiment,
  seed: number,
  load: number,
): readonly types.PlannedRequest[] {
  const random = randoms.createRandom(seed);
  const requestsPerSecond = load * estimateWorkloadCapacity(experiment.workload);
  const meanGapMs = 1_000 / requestsPerSecond;
  const medianGapMs = meanGapMs / Math.exp(ARRIVAL_LOG_STANDARD_DEVIATION ** 2 / 2);
  const arrivalRandom = random.fork();
  const requests: types.PlannedRequest[] = [];
  let atMs = 0;
  for (;;) {
    const progress = atMs / experiment.durationMs;
    const gapMs = draws.drawLognormal(arrivalRandom, medianGapMs, ARRIVAL_LOG_STANDARD_DEVIATION);
    atMs += gapMs / experiment.arrivalRateFactorAt(progress);
    if (atMs >= experiment.durationMs) return requests;
    const lengthFactor = experiment.outputLengthFactorAt(progress);
    const drawn = drawRequest(experiment.workload, random, lengthFactor);
    requests.push({ ...drawn, requestId: `r${requests.length}`, atMs });
  }
}

/**
 * Returns the requests per second, over all entries, at which the most loaded group of engines is
 * full.
 */
function estimateWorkloadCapacity(workload: types.Workload): number {
  const random = randoms.createRandom(1);
  const sample = Array.from({ length: DEMAND_SAMPLE_COUNT }, (_, index) => ({
    ...drawRequest(workload, random, 1),
    requestId: `s${index}`,
    atMs: 0,
  }));
  const rates = workload.groups.map((group) => {
    const served = sample.filter((request) => request.entry.model === group.model);
    const rate = maxRates.computeMaxRequestsPerSecond(group, maxRates.computeMeanDemand(served));
    return (rate * sample.length) / Math.max(1, served.length);
  });
  return Math.min(...rates);
}

function drawRequest(
  workload: types.Workload,
  random: randoms.RandomSource,
  lengthFactor: number,
): DrawnRequest {
  const entry = draws.drawWeighted(random, workload.entries, (item) => item.ratio);
  const accounts = [...workload.accountWeights.keys()];
  const account = draws.drawWeighted(
    random,
    accounts,
    (index) => workload.accountWeights[index] ?? 0,
  );
  const maxTokens = draws.drawWeighted(random, entry.declaredMaxTokens, () => 1);
  const outputTokens = Math.round(draws.drawTokens(random, entry.output) * lengthFactor);
  return {
    entry,
    accountName: `account-${account}`,
    vmIndex: Math.floor(random.next() * workload.vmsCount),
    promptTokens: draws.drawTokens(random, entry.prompt),
    maxTokens,
    trueTokens: Math.max(1, Math.min(maxTokens, outputTokens)),
  };
}
