import * as hdr from "hdr-histogram-js";

import * as engineClients from "../../../../../standins/engine/client/index.js";
import * as engineModels from "../../../../../standins/engine/model/index.js";
import * as clocks from "../../../../../src/_lib/clock/index.js";
import * as randoms from "../../../../../src/_lib/random/index.js";
import type * as backends from "../../../../../src/backends/types.js";
import * as liveVms from "../liveVms/index.js";
import * as rates from "../rates/index.js";

const STREAMS_COUNT = 32;
const TOKENS_PER_STREAM = 200;
const ROUNDS_COUNT = 3;
const ENGINE_STEP_MS = 15;
const MICROSECONDS_PER_MS = 1_000;

/** Percentiles of the time between tokens on one path. */
export interface InterTokenTimes {
  readonly path: string;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/**
 * A path of tokens to their reader; a role of null means directly from the engine, without a
 * daemon.
 */
interface TokenPath {
  readonly path: string;
  readonly vmNames: readonly string[];
  readonly role: "home" | "other" | null;
}

const PATHS: readonly TokenPath[] = [
  { path: "direct", vmNames: ["a"], role: null },
  { path: "one daemon", vmNames: ["a"], role: "home" },
  { path: "one daemon, copies to a second", vmNames: ["a", "b"], role: "home" },
  { path: "two daemons, entry and home", vmNames: ["a", "b"], role: "other" },
];

/**
 * Measures the time between tokens through zero, one and two daemons; each round measures every
 * path once.
 */
export async function measureInterToken(): Promise<readonly InterTokenTimes[]> {
  const histograms = PATHS.map(() => hdr.build());
  for (let round = 0; round < ROUNDS_COUNT; round += 1) {
    for (const [index, path] of PATHS.entries()) {
      const histogram = histograms[index];
      if (histogram !== undefined) await measurePath(path, histogram);
    }
  }
  return histograms.map((histogram, index) => ({
    path: PATHS[index]?.path ?? "",
    p50Ms: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
  }));
}

async function measurePath({ vmNames, role }: TokenPath, histogram: hdr.Histogram): Promise<void> {
  const engine = createEngine();
  await using group = new liveVms.LiveVms(vmNames, engine);
  await group.start();
  const streams = Array.from({ length: STREAMS_COUNT }, async (_, index) => {
    const frames =
      role === null
        ? engine.start(
            rates.createEngineRequest(`r${index}`, TOKENS_PER_STREAM),
            new AbortController().signal,
          )
        : (await group.submit(group.selectRoles()[role], TOKENS_PER_STREAM)).readFrames(0);
    await recordTokenIntervals(frames, histogram);
  });
  await Promise.all(streams);
}

async function recordTokenIntervals(
  frames: AsyncIterable<{ readonly tokens: readonly string[] }>,
  histogram: hdr.Histogram,
): Promise<void> {
  let lastAtMs: number | null = null;
  for await (const frame of frames) {
    const nowMs = performance.now();
    if (lastAtMs !== null) {
      histogram.recordValue(Math.round((nowMs - lastAtMs) * MICROSECONDS_PER_MS));
    }
    for (let extra = 1; extra < frame.tokens.length; extra += 1) histogram.recordValue(0);
    lastAtMs = nowMs;
  }
}

function createEngine(): backends.EngineClient {
  const clock = new clocks.SystemClock();
  const model = new engineModels.EngineModel(
    {
      name: "e1",
      capacityTokens: 1_000_000,
      maxRunningCount: STREAMS_COUNT,
      stepBaseMs: ENGINE_STEP_MS,
      stepPerSequenceMs: 0,
      stepPerContextTokenMs: 0,
      stepPerPrefillTokenMs: 0,
      maxPrefillTokensPerStep: 4_096,
      cacheBlockTokens: 16,
      loadReportLagMs: 100,
      cacheEventLagMs: 100,
      cacheEventLossRatio: 0,
      checksFencing: true,
      modelLoadMs: 100,
      loadedModels: [{ model: "m", version: "1", adapters: [] }],
      lengthOf: () => TOKENS_PER_STREAM,
      promptTokensOf: () => 20,
    },
    clock,
    randoms.createRandom(1),
  );
  return new engineClients.ModelEngineClient("e1", model, clock);
}
