import * as hdr from "hdr-histogram-js";

import * as calls from "../../src/calls/index.js";
import * as callsFleet from "../../standins/calls/index.js";

/**
 * Measures once-only calls on a virtual clock for several numbers of VMs and call rates: the
 * latency that the log adds to a call, and the appends per second. Also measures the memory of a
 * retained key.
 */

const LOAD_CASES = [
  { vmsCount: 2, callsPerSecond: 10 },
  { vmsCount: 8, callsPerSecond: 10 },
  { vmsCount: 8, callsPerSecond: 200 },
  { vmsCount: 24, callsPerSecond: 200 },
] as const;

const RUN_MS = 20_000;
const MS_PER_SECOND = 1_000;

const US_PER_MS = 1_000;
const KEYS_COUNT = 100_000;
const ANSWER_BYTES = 200;

async function measureCalls(vmsCount: number, callsPerSecond: number): Promise<void> {
  const fleet = new callsFleet.CallsFleet();
  for (let index = 0; index < vmsCount; index += 1) fleet.start(`vm-${index}`, `dc-${index % 3}`);
  await fleet.clock.runForMs(3_000);
  const histogram = hdr.build({ useWebAssembly: false });
  const appendsBefore = fleet.log.appendsCount;
  const ended: Promise<void>[] = [];
  const callsCount = (RUN_MS / MS_PER_SECOND) * callsPerSecond;
  for (let index = 0; index < callsCount; index += 1) {
    const vm = fleet.vms[index % vmsCount];
    const startedMs = fleet.clock.nowMs();
    const call = vm?.calls.call(fleet.request(`key-${index}`));
    if (call !== undefined) {
      ended.push(
        call.then((result) => {
          if (result.isOk()) histogram.recordValue(fleet.clock.nowMs() - startedMs);
        }),
      );
    }
    await fleet.clock.runForMs(MS_PER_SECOND / callsPerSecond);
  }
  await fleet.settle(Promise.all(ended));
  const appendsPerSecond = ((fleet.log.appendsCount - appendsBefore) * MS_PER_SECOND) / RUN_MS;
  const refusedCount = fleet.counters.countOf("calls.append_failed");
  const formatAddedMs = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) - fleet.service.latencyMs;
  print(
    `${vmsCount} VMs, ${callsPerSecond} calls/s: added p50 ${formatAddedMs(50)} ms, p99 ${formatAddedMs(99)} ms;`,
    `${appendsPerSecond.toFixed(1)} appends/s, ${refusedCount} failed; ${histogram.totalCount} of ${callsCount} answered;`,
    `most executions of a key ${fleet.service.maxExecutions}`,
  );
}

function measureKeyMemory(): void {
  const body = Buffer.alloc(ANSWER_BYTES, 1).toString("base64");
  const heapBefore = measureRetainedBytes();
  let state = calls.createCallsState();
  const append = (payload: object): void => {
    const record = { offset: state.appliedOffset + 1, appendedAtWallMs: 1, payload };
    state = calls.applyCallRecord(state, structuredClone(record));
  };
  const startedMs = performance.now();
  for (let index = 0; index < KEYS_COUNT; index += 1) {
    const key = { keyId: `key-${index}-0123456789`, attempt: `vm-1-${index}` };
    const bodyHash = `hash-${index}`.padEnd(43, "x");
    append({ type: "intent", ...key, bodyHash, vm: "vm-1", keyTimeMs: null, retentionMs: 1e6 });
    append({
      type: "outcome",
      ...key,
      answer: { statusCode: 201, contentType: "text/plain", body },
    });
  }
  const recordUs = ((performance.now() - startedMs) * US_PER_MS) / (2 * KEYS_COUNT);
  const keyBytes = (measureRetainedBytes() - heapBefore) / state.keys.size;
  print(
    `${state.keys.size} keys with answers of ${ANSWER_BYTES} bytes: ${keyBytes.toFixed(0)} bytes a`,
    `key retained, ${recordUs.toFixed(1)} us a record`,
  );
}

/** Returns the used heap in bytes; without --expose-gc, the figure includes garbage. */
function measureRetainedBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function print(...parts: string[]): void {
  process.stdout.write(`${parts.join(" ")}\n`);
}

measureKeyMemory();
for (const { vmsCount, callsPerSecond } of LOAD_CASES) await measureCalls(vmsCount, callsPerSecond);
