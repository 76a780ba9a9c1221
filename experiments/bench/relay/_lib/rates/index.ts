import type * as backends from "../../../../../src/backends/types.js";
import * as floodEngines from "../floodEngine/index.js";
import * as liveVms from "../liveVms/index.js";

const STREAMS_COUNT = 200;
const TOKENS_PER_STREAM = 1_500;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** The relay throughput on one path. */
export interface RelayRate {
  readonly path: string;
  readonly tokensPerCpuSecond: number;
}

/**
 * Measures tokens per second of CPU time on each path, including the work of the engine and the
 * callers.
 */
export async function measureRates(): Promise<readonly RelayRate[]> {
  return [
    await measurePath("engine and callers alone", ["a"], null),
    await measurePath("one daemon", ["a"], "home"),
    await measurePath("one daemon, copies to a second", ["a", "b"], "home"),
    await measurePath("two daemons, entry and home", ["a", "b"], "other"),
  ];
}

async function measurePath(
  path: string,
  vmNames: readonly string[],
  role: "home" | "other" | null,
): Promise<RelayRate> {
  const engine = new floodEngines.FloodEngine("e1");
  await using group = new liveVms.LiveVms(vmNames, engine);
  await group.start();
  const readers = Array.from({ length: STREAMS_COUNT }, (_, index) =>
    role === null
      ? countEngineTokens(engine, index)
      : countVmTokens(group, group.selectRoles()[role]),
  );
  const before = process.cpuUsage();
  const counts = await Promise.all(readers);
  const used = process.cpuUsage(before);
  const cpuSeconds = (used.user + used.system) / MICROSECONDS_PER_SECOND;
  const tokensCount = counts.reduce((sum, count) => sum + count, 0);
  return { path, tokensPerCpuSecond: Math.round(tokensCount / cpuSeconds) };
}

async function countVmTokens(group: liveVms.LiveVms, vmName: string): Promise<number> {
  const handle = await group.submit(vmName, TOKENS_PER_STREAM);
  let tokensCount = 0;
  for await (const frame of handle.readFrames(0)) tokensCount += frame.tokens.length;
  return tokensCount;
}

async function countEngineTokens(engine: backends.EngineClient, index: number): Promise<number> {
  const request = createEngineRequest(`r${index}`, TOKENS_PER_STREAM);
  let tokensCount = 0;
  for await (const frame of engine.start(request, new AbortController().signal)) {
    tokensCount += frame.tokens.length;
  }
  return tokensCount;
}

/** Creates a request that is sent to an engine directly, without a daemon. */
export function createEngineRequest(requestId: string, maxTokens: number): backends.EngineRequest {
  return {
    requestId,
    attempt: 1,
    model: "m",
    version: "1",
    adapter: null,
    prompt: requestId,
    prefixTokens: [],
    maxTokens,
    priority: 1,
    seed: 1,
  };
}
