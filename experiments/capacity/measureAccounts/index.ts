import * as accounts from "../../../src/accounts/index.js";
import * as disposableStore from "../../../src/_lib/disposableStore/index.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import * as catalogueView from "../../../standins/catalogue/view/index.js";
import * as limitsFleet from "../../../standins/fleet/limitsFleet/index.js";
import type * as formatTable from "../_lib/formatTable/index.js";
import * as loopbackFleet from "../_lib/loopbackFleet/index.js";

/** Columns of each measured row, in order. */
export const ACCOUNT_COLUMNS = [
  "accounts active at each VM",
  "bytes/s sent a VM, by TCP payload",
  "processor ms/s a VM",
  "heap KB a VM",
] as const;

const VMS_COUNT = 8;
const SETTLE_MS = 8_000;
const MEASURE_MS = 12_000;
const TICK_MS = 250;
const ACCOUNT_LIMITS = { requestsPerSecond: 20, concurrentRequests: 20, tokensPerSecond: 2_000 };

/**
 * Measures account limit sharing among eight VMs; each VM gets one request per second for each
 * account.
 */
export async function measureAccounts(accountsCount: number): Promise<formatTable.Row> {
  const heapBeforeKb = loopbackFleet.measureUsedHeapKb();
  await using resources = new disposableStore.DisposableStore();
  const fleet = resources.add(
    await loopbackFleet.LoopbackFleet.start({ dataCentresCount: 1, vmsPerDataCentre: VMS_COUNT }),
  );
  await fleet.waitUntilConverged(30_000);
  const clients = Array.from({ length: accountsCount }, (_, index) =>
    limitsFleet.createAccount(`account-${index}`, ACCOUNT_LIMITS),
  );
  const view = new catalogueView.FakeCatalogueView(clients);
  const limiters = fleet.vms.map((vm) => {
    const limits = new accounts.AccountLimits(
      accounts.DEFAULT_ACCOUNT_LIMIT_OPTIONS,
      vm.network,
      vm.membership,
      view,
      fleet.clock,
      vm.metrics,
    );
    limits.start();
    return resources.add(limits);
  });
  await generateLoad(fleet, limiters, clients, SETTLE_MS);
  const bytesBefore = fleet.sumCounter("peers.sent_bytes");
  const meter = new loopbackFleet.ProcessUsageMeter();
  await generateLoad(fleet, limiters, clients, MEASURE_MS);
  const bytesPerSecond =
    (fleet.sumCounter("peers.sent_bytes") - bytesBefore) / meter.elapsedSeconds();
  const cpuMsPerSecond = meter.cpuMsPerSecond();
  const heapKb = loopbackFleet.measureUsedHeapKb() - heapBeforeKb;
  return [
    accountsCount,
    bytesPerSecond / VMS_COUNT,
    cpuMsPerSecond / VMS_COUNT,
    heapKb / VMS_COUNT,
  ];
}

/** Admits one request per second for each account at each VM, spread evenly over the second. */
async function generateLoad(
  fleet: loopbackFleet.LoopbackFleet,
  limiters: readonly accounts.AccountLimits[],
  clients: readonly catalogue.ClientAccount[],
  durationMs: number,
): Promise<void> {
  const ticksPerSecond = 1_000 / TICK_MS;
  const endMs = fleet.clock.nowMs() + durationMs;
  for (let tick = 0; fleet.clock.nowMs() < endMs; tick += 1) {
    const due = clients.filter((_, index) => index % ticksPerSecond === tick % ticksPerSecond);
    for (const limits of limiters) for (const client of due) admitRequest(limits, client);
    await fleet.clock.sleep(TICK_MS);
  }
}

function admitRequest(limits: accounts.AccountLimits, client: catalogue.ClientAccount): void {
  const permit = limits.admit(client);
  if (permit.isErr()) return;
  permit.value.spendTokens(50);
  permit.value[Symbol.dispose]();
}
