import * as crypto from "node:crypto";

import * as hdr from "hdr-histogram-js";

import * as clocks from "../../src/_lib/clock/index.js";
import * as logger from "../../src/_lib/logger/index.js";
import * as catalogue from "../../src/catalogue/index.js";
import * as appendBudgets from "../../src/controlPlane/appendBudget/index.js";
import * as platform from "../../src/controlPlane/types.js";
import * as replication from "../../src/replication/index.js";
import * as telemetry from "../../src/telemetry/index.js";
import * as fleetModel from "../../standins/fleet/model/index.js";
import * as logModel from "../../standins/log/model/index.js";
import * as hub from "../../standins/peers/hub/index.js";

/**
 * Measures the catalogue replica for several numbers of accounts: the time to apply a record, the
 * time of an index lookup, and the bootstrap time from all records, from a snapshot with the
 * records after it, and from a peer.
 */

const ACCOUNTS_COUNTS = [1_000, 10_000, 40_000];
const CHANGES_COUNT = 30_000;
const LOOKUPS_COUNT = 100_000;
const NS_PER_MS = 1_000_000;
const BYTES_PER_MB = 1_048_576;
const NS_PER_US = 1_000;
const RECORDS_PER_APPEND = 500;

const clock = new clocks.SystemClock();

function accountName(index: number): string {
  return `account-${index}`;
}

function hashKey(index: number, version: number): string {
  return crypto.createHash("sha256").update(`${index}/${version}`).digest("hex");
}

function createAccountChange(index: number, version: number, baseRevision: number | null): object {
  const name = accountName(index);
  return {
    type: "change",
    changeId: `${name}-${version}`,
    operator: "operator",
    kind: catalogue.ItemKind.Account,
    name,
    baseRevision,
    item: {
      kind: catalogue.ItemKind.Account,
      name,
      owner: "owner",
      keyHashes: [hashKey(index, version)],
      requestsPerSecond: 10,
      concurrentRequests: 20,
      tokensPerSecond: 2_000,
    },
  };
}

/** Generates the records that create all accounts, followed by changes to them. */
function* listPayloads(accountsCount: number, changesCount: number): Generator<object> {
  const revisions: number[] = [];
  for (let index = 0; index < accountsCount; index += 1) {
    revisions.push(index);
    yield createAccountChange(index, 0, null);
  }
  for (let change = 0; change < changesCount; change += 1) {
    const index = (change * 7_919) % accountsCount;
    yield createAccountChange(index, change + 1, revisions[index] ?? null);
    revisions[index] = accountsCount + change;
  }
}

function measureApplyAndLookup(accountsCount: number): void {
  const histogram = hdr.build({ useWebAssembly: false });
  let state = catalogue.createCatalogueState();
  let offset = 0;
  for (const payload of listPayloads(accountsCount, CHANGES_COUNT)) {
    const record = { offset, appendedAtWallMs: 0, payload };
    const startedNs = process.hrtime.bigint();
    state = catalogue.applyRecord(state, record).state;
    const elapsedNs = Number(process.hrtime.bigint() - startedNs);
    if (offset >= accountsCount) histogram.recordValue(elapsedNs);
    offset += 1;
  }
  const startedMs = clock.nowMs();
  for (let index = 0; index < LOOKUPS_COUNT; index += 1) {
    catalogue.findAccountByKeyHash(state, hashKey(index % accountsCount, 0));
  }
  const lookupNs = ((clock.nowMs() - startedMs) * NS_PER_MS) / LOOKUPS_COUNT;
  const microseconds = (percentile: number): string =>
    (histogram.getValueAtPercentile(percentile) / NS_PER_US).toFixed(1);
  print(
    `${accountsCount} accounts: a record p50 ${microseconds(50)} us, p99 ${microseconds(99)} us,`,
    `mean ${(histogram.mean / NS_PER_US).toFixed(1)} us; a lookup ${lookupNs.toFixed(0)} ns`,
  );
}

/** Catalogue replicas on a shared log and peer hub, on the system clock. */
class ReplicaFleet {
  readonly log = new logModel.LogModel(clock, { ...LOG_OPTIONS, latencyMs: 2 });
  readonly hub = new hub.PeerHub(clock);
  readonly fleet = new fleetModel.FleetModel();
  readonly unavailableLog = new logModel.LogModel(clock, LOG_OPTIONS);

  constructor() {
    this.unavailableLog.inject(logModel.LogFault.Down);
  }

  start(
    name: string,
    log: platform.LogService,
    snapshotEveryRecords: number,
  ): catalogue.CatalogueReplica {
    this.fleet.add(name, name);
    const replica = new catalogue.CatalogueReplica(
      clock,
      logger.NOOP_LOGGER,
      telemetry.NOOP_METRICS,
      log,
      this.hub.join(name),
      this.fleet.viewOf(name),
      new appendBudgets.AppendBudget(clock, () => 1),
      { ...replication.DEFAULT_FOLLOWER_OPTIONS, snapshotEveryRecords },
    );
    replica.start();
    return replica;
  }

  async appendHistory(accountsCount: number): Promise<void> {
    let batch: object[] = [];
    for (const payload of listPayloads(accountsCount, CHANGES_COUNT)) {
      batch.push(payload);
      if (batch.length < RECORDS_PER_APPEND) continue;
      await this.log.append(platform.LogStream.Catalogue, batch);
      batch = [];
    }
    await this.log.append(platform.LogStream.Catalogue, batch);
  }
}

const LOG_OPTIONS = {
  ...logModel.DEFAULT_LOG_OPTIONS,
  maxAppendsPerSecond: 1e9,
  retentionMs: 1e12,
};

async function measureCatchUpMs(
  replica: catalogue.CatalogueReplica,
  offset: number,
): Promise<number> {
  const startedMs = clock.nowMs();
  while (!replica.isReady || replica.appliedOffset < offset) await clock.sleep(1);
  return clock.nowMs() - startedMs;
}

async function measureBootstrap(accountsCount: number): Promise<void> {
  const fleet = new ReplicaFleet();
  await fleet.appendHistory(accountsCount);
  const lastOffset = accountsCount + CHANGES_COUNT - 1;
  const first = fleet.start("first", fleet.log, Infinity);
  const allRecordsMs = await measureCatchUpMs(first, lastOffset);
  const fromPeer = fleet.start("from-peer", fleet.unavailableLog, Infinity);
  const peerMs = await measureCatchUpMs(fromPeer, lastOffset);
  const writer = fleet.start("writer", fleet.log, 1);
  await measureCatchUpMs(writer, lastOffset);
  while (writer.describe().follower.snapshotOffset < lastOffset) await clock.sleep(10);
  await writer[Symbol.asyncDispose]();
  const snapshotOffset = writer.describe().follower.snapshotOffset;
  const end = await fleet.log.read(platform.LogStream.Catalogue, snapshotOffset + 1);
  const snapshotBytes = Buffer.byteLength(JSON.stringify(end.map(({ records }) => records)));
  const heapBefore = process.memoryUsage().heapUsed;
  const fromSnapshot = fleet.start("from-snapshot", fleet.log, Infinity);
  const snapshotMs = await measureCatchUpMs(fromSnapshot, lastOffset);
  const heapMb = (process.memoryUsage().heapUsed - heapBefore) / BYTES_PER_MB;
  print(
    `${accountsCount} accounts and ${CHANGES_COUNT} changes: bootstrap from all records`,
    `${allRecordsMs.toFixed(0)} ms, from a snapshot ${snapshotMs.toFixed(0)} ms, from a peer`,
    `${peerMs.toFixed(0)} ms; the snapshot is ${(snapshotBytes / BYTES_PER_MB).toFixed(2)} MB;`,
    `heap grew by ${heapMb.toFixed(0)} MB`,
  );
  for (const replica of [first, fromPeer, fromSnapshot]) await replica[Symbol.asyncDispose]();
}

function print(...parts: string[]): void {
  process.stdout.write(`${parts.join(" ")}\n`);
}

for (const accountsCount of ACCOUNTS_COUNTS) measureApplyAndLookup(accountsCount);
for (const accountsCount of ACCOUNTS_COUNTS) await measureBootstrap(accountsCount);
