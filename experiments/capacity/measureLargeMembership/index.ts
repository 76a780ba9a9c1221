import * as virtualFleet from "../../../standins/fleet/virtualFleet/index.js";
import type * as formatTable from "../_lib/formatTable/index.js";

/** Columns of each measured row, in order. */
export const LARGE_MEMBERSHIP_COLUMNS = [
  "VMs",
  "bytes/s a VM, UDP and IP headers counted",
  "bytes/s at the busiest VM",
  "datagrams/s a VM",
  "processor ms/s a VM, without the kernel's",
  "ms until every VM sees all as live",
] as const;

const DATA_CENTRES_COUNT = 19;
const UDP_IP_HEADER_BYTES = 28;
const SETTLE_MS = 10_000;
const SETTLE_PER_VM_MS = 500;
const MEASURE_MS = 20_000;
const CONVERGENCE_TIMEOUT_MS = 120_000;
const MS_PER_SECOND = 1_000;
const MICROSECONDS_PER_MS = 1_000;

/**
 * Measures steady-state heartbeats on the virtual clock and an in-memory network, so that a fleet
 * of the size expected in two years fits into one process.
 */
export async function measureLargeMembership(vmsPerDataCentre: number): Promise<formatTable.Row> {
  const fleet = new virtualFleet.VirtualFleet(1);
  const dataCentres = Array.from({ length: DATA_CENTRES_COUNT }, (_, index) => `dc-${index + 1}`);
  fleet.startMany(vmsPerDataCentre, dataCentres);
  const convergenceMs = await fleet.runUntil(
    () => fleet.isEveryRunningVmLive(),
    CONVERGENCE_TIMEOUT_MS,
  );
  await fleet.clock.runForMs(SETTLE_MS + SETTLE_PER_VM_MS * fleet.vms.size);
  const vms = [...fleet.vms.values()];
  const bytesBefore = vms.map(countSentBytes);
  const datagramsBefore = fleet.hub.sentCount;
  const cpuBefore = process.cpuUsage();
  await fleet.clock.runForMs(MEASURE_MS);
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = MEASURE_MS / MS_PER_SECOND;
  const rates = vms.map((vm, index) => (countSentBytes(vm) - (bytesBefore[index] ?? 0)) / seconds);
  const cpuMs = (cpu.user + cpu.system) / MICROSECONDS_PER_MS;
  return [
    vms.length,
    rates.reduce((sum, rate) => sum + rate, 0) / vms.length,
    Math.max(...rates),
    (fleet.hub.sentCount - datagramsBefore) / vms.length / seconds,
    cpuMs / vms.length / seconds,
    convergenceMs,
  ];
}

function countSentBytes(vm: virtualFleet.VirtualVm): number {
  const datagrams = vm.metrics.countOf("fleet.sent_datagrams");
  return vm.metrics.countOf("fleet.sent_bytes") + UDP_IP_HEADER_BYTES * datagrams;
}
