import * as loopbackFleet from "../_lib/loopbackFleet/index.js";
import type * as formatTable from "../_lib/formatTable/index.js";

/** What each row of the measurement holds. */
export const MEMBERSHIP_COLUMNS = [
  "VMs",
  "bytes/s a VM, UDP and IP headers counted",
  "bytes/s at the busiest VM",
  "datagrams/s a VM",
  "processor ms/s a VM",
  "heap KB a VM",
  "ms until all see all",
] as const;

const HEADER_BYTES = 28;
const SETTLE_MS = 10_000;
/** A VM's news of the start ride on its heartbeats for about this long, for each VM of the fleet. */
const SETTLE_PER_VM_MS = 500;
const MEASURE_MS = 10_000;
const WHOLE_LIMIT_MS = 120_000;

/** Measures the members' heartbeats at rest, in a fleet of the size given. */
export async function measureMembership(
  options: loopbackFleet.LoopbackFleetOptions,
): Promise<formatTable.Row> {
  const heapBeforeKb = loopbackFleet.usedHeapKb();
  await using fleet = await loopbackFleet.LoopbackFleet.start(options);
  const wholeMs = await fleet.waitUntilWhole(WHOLE_LIMIT_MS);
  await fleet.clock.sleep(SETTLE_MS + SETTLE_PER_VM_MS * fleet.vms.length);
  const before = fleet.vms.map(sentBytes);
  const datagramsBefore = fleet.sumOf("fleet.sent_datagrams");
  const meter = new loopbackFleet.ProcessMeter();
  await fleet.clock.sleep(MEASURE_MS);
  const seconds = meter.elapsedSeconds();
  const cpuMsPerSecond = meter.cpuMsPerSecond();
  const vmsCount = fleet.vms.length;
  const rates = fleet.vms.map((vm, index) => (sentBytes(vm) - (before[index] ?? 0)) / seconds);
  const datagrams = fleet.sumOf("fleet.sent_datagrams") - datagramsBefore;
  const heapKb = loopbackFleet.usedHeapKb() - heapBeforeKb;
  return [
    vmsCount,
    rates.reduce((sum, rate) => sum + rate, 0) / vmsCount,
    Math.max(...rates),
    datagrams / vmsCount / seconds,
    cpuMsPerSecond / vmsCount,
    heapKb / vmsCount,
    wholeMs,
  ];
}

function sentBytes(vm: loopbackFleet.LoopbackVm): number {
  const datagrams = vm.metrics.countOf("fleet.sent_datagrams");
  return vm.metrics.countOf("fleet.sent_bytes") + HEADER_BYTES * datagrams;
}
