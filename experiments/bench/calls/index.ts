import * as hdr from "hdr-histogram-js";

import * as disposableStore from "../../../src/_lib/disposableStore/index.js";
import * as localDaemons from "../../../standins/daemon/index.js";

/** Calls made over one path in each round; a round measures all paths one after another. */
const CALLS_PER_ROUND_COUNT = 200;

const ROUNDS_COUNT = 3;

/**
 * Unmeasured calls over each path at the start, to open connections and warm up the JIT compiler.
 */
const WARM_UP_CALLS_COUNT = 100;

const MICROSECONDS_PER_MS = 1_000;

/** A way for a call to reach the service, directly or through the daemon. */
interface CallPath {
  readonly name: string;
  readonly call: (index: number) => Promise<Response>;
  readonly durations: hdr.Histogram;
}

/** Measures call latency through a daemon and directly at the service, and prints both. */
export async function benchCalls(): Promise<void> {
  await using store = new disposableStore.DisposableStore();
  const local = await localDaemons.startLocalDaemon(store);
  await localDaemons.publishItems(local);
  const paths = createPaths(local);
  for (const path of paths) await runCallsSequentially(path, 0, WARM_UP_CALLS_COUNT);
  for (const path of paths) path.durations.reset();
  for (let round = 1; round <= ROUNDS_COUNT; round += 1) {
    for (const path of paths) await runCallsSequentially(path, round, CALLS_PER_ROUND_COUNT);
  }
  printPaths(paths);
}

function createPaths({ daemon, world }: localDaemons.LocalDaemon): readonly CallPath[] {
  const serviceUrl = world.services.get("permits-1")?.url ?? "";
  const headers = { authorization: `Bearer ${localDaemons.ACCOUNT_KEY}` };
  const post = (url: string, extraHeaders: Record<string, string> = {}): Promise<Response> =>
    fetch(url, { method: "POST", body: "{}", headers: { ...headers, ...extraHeaders } });
  return [
    { name: "direct", call: () => post(`${serviceUrl}/look-up`) },
    { name: "idempotent", call: () => post(`${daemon.callerUrl}/v1/calls/look-up`) },
    {
      name: "once-only, keyed",
      call: (index: number) =>
        post(`${daemon.callerUrl}/v1/calls/file-permit`, { "idempotency-key": `bench-${index}` }),
    },
  ].map((path) => ({ ...path, durations: hdr.build() }));
}

async function runCallsSequentially(path: CallPath, round: number, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const startedAtMs = performance.now();
    const response = await path.call(round * CALLS_PER_ROUND_COUNT + index);
    await response.arrayBuffer();
    if (!response.ok) throw new Error(`${path.name}: status ${response.status}`);
    const durationMs = performance.now() - startedAtMs;
    path.durations.recordValue(Math.round(durationMs * MICROSECONDS_PER_MS));
  }
}

function printPaths(paths: readonly CallPath[]): void {
  const quantileMs = (path: CallPath, percentile: number): number =>
    path.durations.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  const count = ROUNDS_COUNT * CALLS_PER_ROUND_COUNT;
  process.stdout.write(`time of a call, one after the other (${count} each, log of 2 ms)\n`);
  const [direct] = paths;
  for (const path of paths) {
    const p50Ms = quantileMs(path, 50);
    const ratio = direct === undefined ? 1 : p50Ms / quantileMs(direct, 50);
    const p99Ms = quantileMs(path, 99);
    process.stdout.write(
      `  ${path.name}: p50 ${p50Ms.toFixed(2)} ms, p99 ${p99Ms.toFixed(2)} ms, p50 ratio ${ratio.toFixed(2)}\n`,
    );
  }
}
