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
 * Measures the catalogue's replica: the cost of a record, the index's lookup, and bootstrap from
 * all records, from a snapshot and its tail, and from a peer, against the number of accounts.
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

function keyHash(index: number, version: number): string {
  return crypto.createHash("sha256").update(`${index}/${version}`).digest("hex");
}

function accountChange(index: number, version: number, baseRevision: number | null): object {
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
      keyHashes: [keyHash(index, version)],
      requestsPerSecond: 10,
      concurrentRequests: 20,
      tokensPerSecond: 2_000,
    },
  };
}

/** The records that create all accounts, and a day's changes to them. */
function* listPayloads(accountsCount: number, changesCount: number): Generator<object> {
  const revisions: number[] = [];
  for (let index = 0; index < accountsCount; index += 1) {
    revisions.push(index);
    yield accountChange(index, 0, null);
  }
  for (let change = 0; change < changesCount; change += 1) {
    const index = (change * 7_919) % accountsCount;
    yield accountChange(index, change + 1, revisions[index] ?? null);
    revisions[index] = accountsCount + change;
  }
}

function measureRecords(accountsCount: number): void {
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
    catalogue.findAccountByKeyHash(state, keyHash(index % accountsCount, 0));
  }
  const lookupNs = ((clock.nowMs() - startedMs) * NS_PER_MS) / LOOKUPS_COUNT;
  const microseconds = (percentile: number): string =>
    (histogram.getValueAtPercentile(percentile) / NS_PER_US).toFixed(1);
  print(
    `${accountsCount} accounts: a record p50 ${microseconds(50)} us, p99 ${microseconds(99)} us,`,
    `mean ${(histogram.mean / NS_PER_US).toFixed(1)} us; a lookup ${lookupNs.toFixed(0)} ns`,
  );
}

/** One fleet of replicas over one log, on the machine's clock. */
class Rig {
  readonly log = new logModel.LogModel(clock, { ...LOG_OPTIONS, latencyMs: 2 });
  readonly hub = new hub.PeerHub(clock);
  readonly fleet = new fleetModel.FleetModel();
  readonly downLog = new logModel.LogModel(clock, LOG_OPTIONS);

  constructor() {
    this.downLog.inject(logModel.LogFault.Down);
  }

  start(
    name: string,
    log: platform.LogService,
    snapshotEveryRecords: number,
  ): catalogue.CatalogueReplica {
    this.fleet.add(name, name);
    const replica = new catalogue.CatalogueReplica(
      clock,
      logger.SILENT_LOGGER,
      telemetry.NO_METRICS,
      log,
      this.hub.join(name),
      this.fleet.viewOf(name),
      new appendBudgets.AppendBudget(clock, () => 1),
      { ...replication.DEFAULT_FOLLOWER_OPTIONS, snapshotEveryRecords },
    );
    replica.start();
    return replica;
  }

  async fill(accountsCount: number): Promise<void> {
    let group: object[] = [];
    for (const payload of listPayloads(accountsCount, CHANGES_COUNT)) {
      group.push(payload);
      if (group.length < RECORDS_PER_APPEND) continue;
      await this.log.append(platform.LogStream.Catalogue, group);
      group = [];
    }
    await this.log.append(platform.LogStream.Catalogue, group);
  }
}

const LOG_OPTIONS = {
  ...logModel.DEFAULT_LOG_OPTIONS,
  maxAppendsPerSecond: 1e9,
  retentionMs: 1e12,
};

async function untilReady(replica: catalogue.CatalogueReplica, offset: number): Promise<number> {
  const startedMs = clock.nowMs();
  while (!replica.ready || replica.appliedOffset < offset) await clock.sleep(1);
  return clock.nowMs() - startedMs;
}

async function measureBootstrap(accountsCount: number): Promise<void> {
  const rig = new Rig();
  await rig.fill(accountsCount);
  const lastOffset = accountsCount + CHANGES_COUNT - 1;
  const first = rig.start("first", rig.log, Infinity);
  const allRecordsMs = await untilReady(first, lastOffset);
  const fromPeer = rig.start("from-peer", rig.downLog, Infinity);
  const peerMs = await untilReady(fromPeer, lastOffset);
  const writer = rig.start("writer", rig.log, 1);
  await untilReady(writer, lastOffset);
  while (writer.describe().follower.snapshotOffset < lastOffset) await clock.sleep(10);
  await writer[Symbol.asyncDispose]();
  const snapshotOffset = writer.describe().follower.snapshotOffset;
  const end = await rig.log.read(platform.LogStream.Catalogue, snapshotOffset + 1);
  const snapshotBytes = Buffer.byteLength(JSON.stringify(end.map(({ records }) => records)));
  const heapBefore = process.memoryUsage().heapUsed;
  const fromSnapshot = rig.start("from-snapshot", rig.log, Infinity);
  const snapshotMs = await untilReady(fromSnapshot, lastOffset);
  const heapMb = (process.memoryUsage().heapUsed - heapBefore) / BYTES_PER_MB;
  print(
    `${accountsCount} accounts and ${CHANGES_COUNT} changes: bootstrap from all records`,
    `${allRecordsMs.toFixed(0)} ms, from a snapshot ${snapshotMs.toFixed(0)} ms, from a peer`,
    `${peerMs.toFixed(0)} ms; the snapshot is ${(snapshotBytes / BYTES_PER_MB).toFixed(2)} MB;`,
    `heap grew by ${heapMb.toFixed(0)} MB`,
  );
  for (const replica of [first, fromPeer, fromSnapshot]) await replica[Symbol.asyncDispose]();
}

function print(...words: string[]): void {
  process.stdout.write(`${words.join(" ")}\n`);
}

for (const accountsCount of ACCOUNTS_COUNTS) measureRecords(accountsCount);
for (const accountsCount of ACCOUNTS_COUNTS) await measureBootstrap(accountsCount);
