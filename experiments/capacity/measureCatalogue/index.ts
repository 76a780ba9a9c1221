import * as disposableStore from "../../../src/_lib/disposableStore/index.js";
import * as logging from "../../../src/_lib/logger/index.js";
import * as catalogue from "../../../src/catalogue/index.js";
import * as types from "../../../src/catalogue/types.js";
import * as appendBudget from "../../../src/controlPlane/appendBudget/index.js";
import * as replication from "../../../src/replication/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import type * as formatTable from "../_lib/formatTable/index.js";
import * as loopbackFleet from "../_lib/loopbackFleet/index.js";

/** Columns of each measured row, in order. */
export const CATALOGUE_COLUMNS = [
  "VMs",
  "ms from apply to in force everywhere, median",
  "ms from apply to in force everywhere, maximum",
  "bytes/s sent a VM at one change a second, by TCP payload",
] as const;

const CHANGES_COUNT = 30;
const CHANGE_INTERVAL_MS = 1_000;
const SETTLE_MS = 8_000;
const IN_FORCE_TIMEOUT_MS = 20_000;
const POLL_MS = 2;
const KEY_HASH_DIGITS_COUNT = 64;

/** Measures the time until a change is in force on all VMs, at one change per second. */
export async function measureCatalogue(
  options: loopbackFleet.LoopbackFleetOptions,
): Promise<formatTable.Row> {
  await using resources = new disposableStore.DisposableStore();
  const fleet = resources.add(await loopbackFleet.LoopbackFleet.start(options));
  await fleet.waitUntilConverged(60_000);
  const log = new logModel.LogModel(fleet.clock);
  const replicas = fleet.vms.map((vm) => {
    const replica = new catalogue.CatalogueReplica(
      fleet.clock,
      logging.NOOP_LOGGER,
      vm.metrics,
      log,
      vm.network,
      vm.membership,
      new appendBudget.AppendBudget(fleet.clock, () => fleet.vms.length),
      replication.DEFAULT_FOLLOWER_OPTIONS,
    );
    replica.start();
    return resources.add(replica);
  });
  await fleet.clock.sleep(SETTLE_MS);
  const bytesBefore = fleet.sumCounter("peers.sent_bytes");
  const meter = new loopbackFleet.ProcessUsageMeter();
  const durations: number[] = [];
  for (let change = 0; change < CHANGES_COUNT; change += 1) {
    const replica = replicas[change % replicas.length];
    if (replica === undefined) throw new Error("the fleet has no replicas");
    durations.push(await measureChangeMs(fleet, replicas, replica, change));
    await fleet.clock.sleep(CHANGE_INTERVAL_MS);
  }
  const bytesPerSecond =
    (fleet.sumCounter("peers.sent_bytes") - bytesBefore) / meter.elapsedSeconds();
  durations.sort((left, right) => left - right);
  return [
    fleet.vms.length,
    durations[Math.floor(durations.length / 2)] ?? 0,
    durations.at(-1) ?? 0,
    bytesPerSecond / fleet.vms.length,
  ];
}

async function measureChangeMs(
  fleet: loopbackFleet.LoopbackFleet,
  replicas: readonly catalogue.CatalogueReplica[],
  replica: catalogue.CatalogueReplica,
  change: number,
): Promise<number> {
  const name = `account-${change}`;
  const startedAtMs = fleet.clock.nowMs();
  const outcome = await replica.propose({
    type: "change",
    changeId: `change-${change}`,
    operator: "capacity",
    kind: types.ItemKind.Account,
    name,
    baseRevision: null,
    item: {
      kind: types.ItemKind.Account,
      name,
      owner: "capacity",
      keyHashes: [change.toString(16).padStart(KEY_HASH_DIGITS_COUNT, "0")],
      requestsPerSecond: 10,
      concurrentRequests: 10,
      tokensPerSecond: 1_000,
    },
  });
  if (outcome.isErr()) throw outcome.error;
  if (!outcome.value.isAccepted) throw new Error(`change ${change}: ${outcome.value.reason}`);
  const key = `${types.ItemKind.Account}/${name}`;
  while (!replicas.every((each) => each.current().items.has(key))) {
    if (fleet.clock.nowMs() - startedAtMs > IN_FORCE_TIMEOUT_MS) {
      throw new Error(`change ${change} not in force everywhere after ${IN_FORCE_TIMEOUT_MS} ms`);
    }
    await fleet.clock.sleep(POLL_MS);
  }
  return fleet.clock.nowMs() - startedAtMs;
}
