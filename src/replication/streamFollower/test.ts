import tap from "tap";

import * as logModel from "../../../standins/log/model/index.js";
import * as followers from "../../../standins/replication/index.js";
import * as platform from "../../controlPlane/types.js";

function offsetsOf(fleet: followers.FollowerFleet): number[] {
  return fleet.vms.map((vm) => vm.follower.appliedOffset);
}

function hashesOf(fleet: followers.FollowerFleet): Set<string> {
  return new Set(fleet.vms.map((vm) => vm.follower.current.hash));
}

tap.test(
  "two VMs of a data centre read the log, and the others apply the records within a second",
  async (t) => {
    const fleet = new followers.FollowerFleet();
    for (let index = 0; index < 8; index += 1) fleet.start(`vm-${index}`);
    await fleet.clock.runForMs(3_000);
    t.equal(fleet.vms.filter((vm) => vm.follower.status().isReader).length, 2);
    for (const vm of fleet.vms) if (!vm.follower.status().isReader) vm.log.isPartitioned = true;
    await fleet.append(10);
    await fleet.clock.runForMs(900);
    t.same(new Set(offsetsOf(fleet)), new Set([9]));
    t.equal(hashesOf(fleet).size, 1);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("a new VM starts from the newest snapshot and the records after it", async (t) => {
  const fleet = new followers.FollowerFleet();
  const writer = fleet.start("vm-0", "dc-a", {
    areSnapshotsWritten: true,
    snapshotEveryRecords: 50,
  });
  for (let round = 0; round < 30; round += 1) await fleet.append(50);
  await fleet.clock.runForMs(20_000);
  const { snapshotOffset } = writer.follower.status();
  t.ok(snapshotOffset > 0);
  fleet.truncateBefore(snapshotOffset + 1);
  const fresh = fleet.start("vm-1", "dc-b");
  fleet.hub.cut("vm-0", "vm-1");
  await fleet.clock.runForMs(3_000);
  t.ok(fresh.follower.isReady);
  t.equal(hashesOf(fleet).size, 1);
  await fleet[Symbol.asyncDispose]();
});

tap.test("a due snapshot is written by only one VM", async (t) => {
  const fleet = new followers.FollowerFleet();
  const options = { areSnapshotsWritten: true, snapshotEveryRecords: 100 };
  for (let index = 0; index < 6; index += 1) fleet.start(`vm-${index}`, `dc-${index % 3}`, options);
  await fleet.append(120);
  await fleet.clock.runForMs(30_000);
  t.equal(fleet.counters.countOf("replication.snapshot_written"), 1);
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "the snapshot of an idle stream is rewritten before the log's retention time ends",
  async (t) => {
    const fleet = new followers.FollowerFleet();
    const options = { areSnapshotsWritten: true, retentionMs: 400_000 };
    fleet.start("vm-0", "dc-a", options);
    await fleet.append(3);
    await fleet.clock.runForMs(250_000);
    t.equal(fleet.counters.countOf("replication.snapshot_written"), 2);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("a corrupt or lower snapshot is ignored", async (t) => {
  const fleet = new followers.FollowerFleet();
  const vm = fleet.start("vm-0");
  const part = { type: "snapshot", snapshotId: "s", index: 0, count: 1, data: "AAAA" };
  await fleet.append(3);
  await fleet.appendPayloads([{ ...part, coveredOffset: 1_000, hash: "0".repeat(64) }]);
  await fleet.clock.runForMs(3_000);
  t.equal(vm.follower.appliedOffset, 3);
  t.equal(vm.follower.status().snapshotOffset, -1);
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "a VM that reaches neither the log nor peers is not ready, and reports the reason",
  async (t) => {
    const fleet = new followers.FollowerFleet();
    const vm = fleet.start("vm-0", "dc-a", {}, true);
    await fleet.clock.runForMs(20_000);
    t.notOk(vm.follower.isReady);
    t.match(vm.follower.status().reason, /neither the log nor a ready peer/);
    vm.log.isPartitioned = false;
    await fleet.clock.runForMs(5_000);
    t.ok(vm.follower.isReady);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("a new VM loads its state from a peer while the log is down", async (t) => {
  const fleet = new followers.FollowerFleet();
  fleet.start("vm-0", "dc-a");
  for (let round = 0; round < 100; round += 1) await fleet.append(100);
  await fleet.clock.runForMs(5_000);
  fleet.log.inject(logModel.LogFault.Down);
  const fresh = fleet.start("vm-1", "dc-b");
  await fleet.clock.runForMs(10_000);
  t.ok(fresh.follower.isReady);
  t.equal(fresh.follower.appliedOffset, 9_999);
  t.equal(hashesOf(fleet).size, 1);
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "a data centre that cannot reach the log gets records from another data centre",
  async (t) => {
    const fleet = new followers.FollowerFleet();
    for (const name of ["a-0", "a-1", "a-2"]) fleet.start(name, "dc-a");
    for (const name of ["b-0", "b-1", "b-2", "b-3"]) fleet.start(name, "dc-b");
    await fleet.clock.runForMs(3_000);
    for (const vm of fleet.vms) vm.log.isPartitioned = vm.name.startsWith("b");
    await fleet.append(5);
    await fleet.clock.runForMs(7_000);
    t.same(new Set(offsetsOf(fleet)), new Set([4]));
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test("a gap in the log is reported, and filled from a peer", async (t) => {
  const fleet = new followers.FollowerFleet();
  const [left, right] = [fleet.start("vm-0", "dc-a"), fleet.start("vm-1", "dc-b")];
  await fleet.append(5);
  await fleet.clock.runForMs(2_000);
  right.log.isPartitioned = true;
  fleet.hub.cut("vm-0", "vm-1");
  await fleet.append(10);
  await fleet.clock.runForMs(2_000);
  fleet.truncateBefore(12);
  right.log.isPartitioned = false;
  await fleet.clock.runForMs(5_000);
  t.equal(right.follower.appliedOffset, 4);
  t.match(right.follower.status().reason, /no longer has the records 5 to 11/);
  fleet.hub.heal("vm-0", "vm-1");
  await fleet.clock.runForMs(10_000);
  t.ok(right.follower.isFollowing);
  t.equal(right.follower.current.hash, left.follower.current.hash);
  await fleet[Symbol.asyncDispose]();
});

tap.test("followers of paused readers catch up without them", async (t) => {
  const fleet = new followers.FollowerFleet();
  for (let index = 0; index < 5; index += 1) fleet.start(`vm-${index}`);
  await fleet.clock.runForMs(2_000);
  const readers = fleet.vms.filter((vm) => vm.follower.status().isReader);
  for (const reader of readers) {
    reader.gate.pause();
    fleet.hub.pause(reader.name);
  }
  await fleet.append(5);
  await fleet.clock.runForMs(12_000);
  const others = fleet.vms.filter((vm) => !readers.includes(vm));
  t.same(new Set(others.map((vm) => vm.follower.appliedOffset)), new Set([4]));
  for (const reader of readers) reader.gate.resume();
});

tap.test("a peer's state that arrives late does not lower the applied offset", async (t) => {
  const fleet = new followers.FollowerFleet();
  fleet.start("vm-0", "dc-a");
  for (let round = 0; round < 100; round += 1) await fleet.append(100);
  await fleet.clock.runForMs(5_000);
  const late = fleet.start("vm-1", "dc-b", {}, true);
  fleet.hub.latencyMs = 300;
  await fleet.clock.runForMs(1_500);
  t.equal(late.follower.appliedOffset, -1, "the peer's state has not arrived yet");
  await fleet.append(100);
  late.log.isPartitioned = false;
  await fleet.settle(late.follower.catchUpToEnd());
  t.equal(late.follower.appliedOffset, 10_099);
  await fleet.clock.runForMs(10_000);
  t.same(
    late.seenOffsets,
    [...late.seenOffsets].sort((left, right) => left - right),
  );
  await fleet[Symbol.asyncDispose]();
});

tap.test(
  "a stale snapshot that a paused VM appends late is skipped for a usable one",
  async (t) => {
    const fleet = new followers.FollowerFleet();
    const writer = fleet.start("vm-0", "dc-a", {
      areSnapshotsWritten: true,
      snapshotEveryRecords: 60,
    });
    await fleet.append(60);
    await fleet.clock.runForMs(10_000);
    const early = await fleet.settle(fleet.log.read(platform.LogStream.Catalogue, 60));
    const stale = early._unsafeUnwrap().records.map(({ payload }) => {
      return { ...(payload as object), snapshotId: "stale" };
    });
    await fleet.append(100);
    await fleet.clock.runForMs(10_000);
    await fleet.appendPayloads(stale);
    fleet.truncateBefore(writer.follower.status().snapshotOffset - 20);
    fleet.hub.cut("vm-0", "vm-1");
    const fresh = fleet.start("vm-1", "dc-b");
    await fleet.clock.runForMs(5_000);
    t.ok(fresh.follower.isReady);
    t.equal(fresh.follower.current.hash, writer.follower.current.hash);
    t.equal(fleet.counters.countOf("replication.phase_gap"), 0);
    await fleet[Symbol.asyncDispose]();
  },
);

tap.test(
  "a follower partitioned from its readers reads the log itself without delay",
  async (t) => {
    const fleet = new followers.FollowerFleet();
    for (let index = 0; index < 5; index += 1) fleet.start(`vm-${index}`);
    await fleet.clock.runForMs(2_000);
    const readers = fleet.vms.filter((vm) => vm.follower.status().isReader);
    const isolated = fleet.vms.find((vm) => !readers.includes(vm))!;
    for (const reader of readers) fleet.hub.cut(reader.name, isolated.name);
    for (let round = 0; round < 5; round += 1) {
      await fleet.append(1);
      await fleet.clock.runForMs(900);
      t.equal(isolated.follower.appliedOffset, round);
    }
    for (const reader of readers) fleet.hub.heal(reader.name, isolated.name);
    await fleet.clock.runForMs(15_000);
    isolated.log.isPartitioned = true;
    await fleet.append(1);
    await fleet.clock.runForMs(900);
    t.equal(isolated.follower.appliedOffset, 5, "its reader forwards records again");
    await fleet[Symbol.asyncDispose]();
  },
);

// Guards against a stale state that passes for the newest, as a read that returned nothing counted as having caught up.
tap.test("a follower that gets none of the log's records has not caught up", async (t) => {
  const fleet = new followers.FollowerFleet();
  const vm = fleet.start("vm-0");
  await fleet.clock.runForMs(1_000);
  vm.log.withholdsRecords = true;
  await fleet.append(3);
  const caughtUp = vm.follower.catchUpToEnd();
  await fleet.clock.runForMs(100);
  t.match((await caughtUp)._unsafeUnwrapErr().message, "but the log ends at 3");
  vm.log.withholdsRecords = false;
  const repeated = vm.follower.catchUpToEnd();
  await fleet.clock.runForMs(100);
  t.equal((await repeated)._unsafeUnwrap(), 3);
  t.equal(vm.follower.appliedOffset, 2);
  await fleet[Symbol.asyncDispose]();
});
