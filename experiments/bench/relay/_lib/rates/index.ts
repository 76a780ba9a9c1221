import type * as backends from "../../../../../src/backends/types.js";
import * as floodEngines from "../floodEngine/index.js";
import * as liveVms from "../liveVms/index.js";

const STREAMS_COUNT = 200;
const TOKENS_PER_STREAM = 1_500;
const MICROSECONDS_PER_SECOND = 1_000_000;

/** What relaying tokens cost. */
export interface RelayRate {
  readonly path: string;
  readonly tokensPerCpuSecond: number;
}

/** Tokens per second of processor time, the engine's and callers' own work included. */
export async function measureRates(): Promise<readonly RelayRate[]> {
  return [
    await measure("engine and callers alone", ["a"], null),
    await measure("one daemon", ["a"], "home"),
    await measure("one daemon, copies to a second", ["a", "b"], "home"),
    await measure("two daemons, entry and home", ["a", "b"], "other"),
  ];
}

async function measure(
  path: string,
  vmNames: readonly string[],
  role: "home" | "other" | null,
): Promise<RelayRate> {
  const engine = new floodEngines.FloodEngine("e1");
  await using group = new liveVms.LiveVms(vmNames, engine);
  await group.start();
  const readers = Array.from({ length: STREAMS_COUNT }, (_, index) =>
    role === null ? readEngine(engine, index) : readVm(group, group.roles()[role]),
  );
  const before = process.cpuUsage();
  const counts = await Promise.all(readers);
  const used = process.cpuUsage(before);
  const cpuSeconds = (used.user + used.system) / MICROSECONDS_PER_SECOND;
  const tokensCount = counts.reduce((sum, count) => sum + count, 0);
  return { path, tokensPerCpuSecond: Math.round(tokensCount / cpuSeconds) };
}

async function readVm(group: liveVms.LiveVms, vmName: string): Promise<number> {
  const handle = await group.submit(vmName, TOKENS_PER_STREAM);
  let tokensCount = 0;
  for await (const frame of handle.readFrames(0)) tokensCount += frame.tokens.length;
  return tokensCount;
}

async function readEngine(engine: backends.EngineClient, index: number): Promise<number> {
  const request = engineRequest(`r${index}`, TOKENS_PER_STREAM);
  let tokensCount = 0;
  for await (const frame of engine.start(request, new AbortController().signal)) {
    tokensCount += frame.tokens.length;
  }
  return tokensCount;
}

/** A request to an engine without any daemon. */
export function engineRequest(requestId: string, maxTokens: number): backends.EngineRequest {
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
