import * as loopbackFleet from "../_lib/loopbackFleet/index.js";
import type * as formatTable from "../_lib/formatTable/index.js";

/** Columns of each measured row, in order. */
export const MEMBERSHIP_COLUMNS = [
  "VMs",
  "bytes/s a VM, UDP and IP headers counted",
  "bytes/s at the busiest VM",
  "datagrams/s a VM",
  "processor ms/s a VM",
  "heap KB a VM",
  "ms until every VM sees all as live",
] as const;

const UDP_IP_HEADER_BYTES = 28;
const SETTLE_MS = 10_000;
/**
 * Additional settling time per VM: heartbeats carry the updates of a VM's start for about this
 * long.
 */
const SETTLE_PER_VM_MS = 500;
const MEASURE_MS = 10_000;
const CONVERGENCE_TIMEOUT_MS = 120_000;

/** Measures steady-state heartbeats in a fleet of the given size. */
export async function measureMembership(
  options: loopbackFleet.LoopbackFleetOptions,
): Promise<formatTable.Row> {
  const heapBeforeKb = loopbackFleet.measureUsedHeapKb();
  await using fleet = await loopbackFleet.LoopbackFleet.start(options);
  const convergenceMs = await fleet.waitUntilConverged(CONVERGENCE_TIMEOUT_MS);
  await fleet.clock.sleep(SETTLE_MS + SETTLE_PER_VM_MS * fleet.vms.length);
  const before = fleet.vms.map(countSentBytes);
  const datagramsBefore = fleet.sumCounter("fleet.sent_datagrams");
  const meter = new loopbackFleet.ProcessUsageMeter();
  await fleet.clock.sleep(MEASURE_MS);
  const seconds = meter.elapsedSeconds();
  const cpuMsPerSecond = meter.cpuMsPerSecond();
  const vmsCount = fleet.vms.length;
  const rates = fleet.vms.map((vm, index) => (countSentBytes(vm) - (before[index] ?? 0)) / seconds);
  const datagrams = fleet.sumCounter("fleet.sent_datagrams") - datagramsBefore;
  const heapKb = loopbackFleet.measureUsedHeapKb() - heapBeforeKb;
  return [
    vmsCount,
    rates.reduce((sum, rate) => sum + rate, 0) / vmsCount,
    Math.max(...rates),
    datagrams / vmsCount / seconds,
    cpuMsPerSecond / vmsCount,
    heapKb / vmsCount,
    convergenceMs,
  ];
}

function countSentBytes(vm: loopbackFleet.LoopbackVm): number {
  const datagrams = vm.metrics.countOf("fleet.sent_datagrams");
  return vm.metrics.countOf("fleet.sent_bytes") + UDP_IP_HEADER_BYTES * datagrams;
}
