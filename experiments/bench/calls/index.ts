import * as hdr from "hdr-histogram-js";

import * as disposableStore from "../../../src/_lib/disposableStore/index.js";
import * as localDaemons from "../../../standins/daemon/index.js";

/** Calls of one path in one round; the paths take turns. */
const CALLS_PER_ROUND = 200;

const ROUNDS_COUNT = 3;

/** Calls before the first measured one, so that connections and code are warm. */
const WARM_UP_CALLS = 100;

const MICROSECONDS_PER_MS = 1_000;

/** One way for a call to reach the service. */
interface CallPath {
  readonly name: string;
  readonly call: (index: number) => Promise<Response>;
  readonly durations: hdr.Histogram;
}

/** Prints what a daemon adds to a call of a plain service, against the service itself. */
export async function benchCalls(): Promise<void> {
  await using store = new disposableStore.DisposableStore();
  const local = await localDaemons.startLocalDaemon(store);
  await localDaemons.publishItems(local);
  const paths = createPaths(local);
  for (const path of paths) await callInTurn(path, 0, WARM_UP_CALLS);
  for (const path of paths) path.durations.reset();
  for (let round = 1; round <= ROUNDS_COUNT; round += 1) {
    for (const path of paths) await callInTurn(path, round, CALLS_PER_ROUND);
  }
  printPaths(paths);
}

function createPaths({ daemon, world }: localDaemons.LocalDaemon): readonly CallPath[] {
  const serviceUrl = world.services.get("permits-1")?.url ?? "";
  const headers = { authorization: `Bearer ${localDaemons.ACCOUNT_KEY}` };
  const post = (url: string, more: Record<string, string> = {}): Promise<Response> =>
    fetch(url, { method: "POST", body: "{}", headers: { ...headers, ...more } });
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

async function callInTurn(path: CallPath, round: number, count: number): Promise<void> {
  for (let index = 0; index < count; index += 1) {
    const startedAtMs = performance.now();
    const response = await path.call(round * CALLS_PER_ROUND + index);
    await response.arrayBuffer();
    if (!response.ok) throw new Error(`${path.name}: status ${response.status}`);
    const durationMs = performance.now() - startedAtMs;
    path.durations.recordValue(Math.round(durationMs * MICROSECONDS_PER_MS));
  }
}

function printPaths(paths: readonly CallPath[]): void {
  const quantileMs = (path: CallPath, percentile: number): number =>
    path.durations.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  const count = ROUNDS_COUNT * CALLS_PER_ROUND;
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
