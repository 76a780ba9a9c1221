import tap from "tap";

import * as logModel from "../../../standins/log/model/index.js";
import * as followers from "../../../standins/replication/index.js";
import * as platform from "../../controlPlane/types.js";

function offsetsOf(rig: followers.FollowerFleet): number[] {
  return rig.vms.map((vm) => vm.follower.appliedOffset);
}

function hashesOf(rig: followers.FollowerFleet): Set<string> {
  return new Set(rig.vms.map((vm) => vm.follower.current.hash));
}

tap.test("few VMs of a data centre read the log and the rest follow within a second", async (t) => {
  const rig = new followers.FollowerFleet();
  for (let index = 0; index < 8; index += 1) rig.start(`vm-${index}`);
  await rig.clock.runForMs(3_000);
  t.equal(rig.vms.filter((vm) => vm.follower.status().isReader).length, 2);
  for (const vm of rig.vms) if (!vm.follower.status().isReader) vm.log.isCut = true;
  await rig.append(10);
  await rig.clock.runForMs(900);
  t.same(new Set(offsetsOf(rig)), new Set([9]));
  t.equal(hashesOf(rig).size, 1);
  await rig[Symbol.asyncDispose]();
});

tap.test("a new VM starts from the newest snapshot and the records after it", async (t) => {
  const rig = new followers.FollowerFleet();
  const writer = rig.start("vm-0", "dc-a", { areSnapshotsWritten: true, snapshotEveryRecords: 50 });
  for (let round = 0; round < 30; round += 1) await rig.append(50);
  await rig.clock.runForMs(20_000);
  const { snapshotOffset } = writer.follower.status();
  t.ok(snapshotOffset > 0);
  rig.truncateBefore(snapshotOffset + 1);
  const fresh = rig.start("vm-1", "dc-b");
  rig.hub.cut("vm-0", "vm-1");
  await rig.clock.runForMs(3_000);
  t.ok(fresh.follower.isReady);
  t.equal(hashesOf(rig).size, 1);
  await rig[Symbol.asyncDispose]();
});

tap.test("snapshots are written once, by one VM, though all see that they are due", async (t) => {
  const rig = new followers.FollowerFleet();
  const options = { areSnapshotsWritten: true, snapshotEveryRecords: 100 };
  for (let index = 0; index < 6; index += 1) rig.start(`vm-${index}`, `dc-${index % 3}`, options);
  await rig.append(120);
  await rig.clock.runForMs(30_000);
  t.equal(rig.counters.countOf("replication.snapshot_written"), 1);
  await rig[Symbol.asyncDispose]();
});

tap.test("an idle stream's snapshot is renewed well inside the retention", async (t) => {
  const rig = new followers.FollowerFleet();
  const options = { areSnapshotsWritten: true, retentionMs: 400_000 };
  rig.start("vm-0", "dc-a", options);
  await rig.append(3);
  await rig.clock.runForMs(250_000);
  t.equal(rig.counters.countOf("replication.snapshot_written"), 2);
  await rig[Symbol.asyncDispose]();
});

tap.test("a corrupt or lower snapshot is ignored", async (t) => {
  const rig = new followers.FollowerFleet();
  const vm = rig.start("vm-0");
  const part = { type: "snapshot", snapshotId: "s", index: 0, count: 1, data: "AAAA" };
  await rig.append(3);
  await rig.appendPayloads([{ ...part, coveredOffset: 1_000, hash: "0".repeat(64) }]);
  await rig.clock.runForMs(3_000);
  t.equal(vm.follower.appliedOffset, 3);
  t.equal(vm.follower.status().snapshotOffset, -1);
  await rig[Symbol.asyncDispose]();
});

tap.test("a VM without log and peers is not ready and says why", async (t) => {
  const rig = new followers.FollowerFleet();
  const vm = rig.start("vm-0", "dc-a", {}, true);
  await rig.clock.runForMs(20_000);
  t.notOk(vm.follower.isReady);
  t.match(vm.follower.status().reason, /neither the log nor a ready peer/);
  vm.log.isCut = false;
  await rig.clock.runForMs(5_000);
  t.ok(vm.follower.isReady);
  await rig[Symbol.asyncDispose]();
});

tap.test("a new VM starts from a peer while the log is down", async (t) => {
  const rig = new followers.FollowerFleet();
  rig.start("vm-0", "dc-a");
  for (let round = 0; round < 100; round += 1) await rig.append(100);
  await rig.clock.runForMs(5_000);
  rig.log.inject(logModel.LogFault.Down);
  const fresh = rig.start("vm-1", "dc-b");
  await rig.clock.runForMs(10_000);
  t.ok(fresh.follower.isReady);
  t.equal(fresh.follower.appliedOffset, 9_999);
  t.equal(hashesOf(rig).size, 1);
  await rig[Symbol.asyncDispose]();
});

tap.test("a data centre without the log gets records from another one", async (t) => {
  const rig = new followers.FollowerFleet();
  for (const name of ["a-0", "a-1", "a-2"]) rig.start(name, "dc-a");
  for (const name of ["b-0", "b-1", "b-2", "b-3"]) rig.start(name, "dc-b");
  await rig.clock.runForMs(3_000);
  for (const vm of rig.vms) vm.log.isCut = vm.name.startsWith("b");
  await rig.append(5);
  await rig.clock.runForMs(7_000);
  t.same(new Set(offsetsOf(rig)), new Set([4]));
  await rig[Symbol.asyncDispose]();
});

tap.test("a gap in the log is stated, and healed by a peer", async (t) => {
  const rig = new followers.FollowerFleet();
  const [left, right] = [rig.start("vm-0", "dc-a"), rig.start("vm-1", "dc-b")];
  await rig.append(5);
  await rig.clock.runForMs(2_000);
  right.log.isCut = true;
  rig.hub.cut("vm-0", "vm-1");
  await rig.append(10);
  await rig.clock.runForMs(2_000);
  rig.truncateBefore(12);
  right.log.isCut = false;
  await rig.clock.runForMs(5_000);
  t.equal(right.follower.appliedOffset, 4);
  t.match(right.follower.status().reason, /no longer has the records 5 to 11/);
  rig.hub.heal("vm-0", "vm-1");
  await rig.clock.runForMs(10_000);
  t.ok(right.follower.isFollowing);
  t.equal(right.follower.current.hash, left.follower.current.hash);
  await rig[Symbol.asyncDispose]();
});

tap.test("a paused reader is replaced by the others' own questions", async (t) => {
  const rig = new followers.FollowerFleet();
  for (let index = 0; index < 5; index += 1) rig.start(`vm-${index}`);
  await rig.clock.runForMs(2_000);
  const readers = rig.vms.filter((vm) => vm.follower.status().isReader);
  for (const reader of readers) {
    reader.gate.pause();
    rig.hub.pause(reader.name);
  }
  await rig.append(5);
  await rig.clock.runForMs(12_000);
  const others = rig.vms.filter((vm) => !readers.includes(vm));
  t.same(new Set(others.map((vm) => vm.follower.appliedOffset)), new Set([4]));
  for (const reader of readers) reader.gate.resume();
});

tap.test("a peer's state that arrives late does not move the offset back", async (t) => {
  const rig = new followers.FollowerFleet();
  rig.start("vm-0", "dc-a");
  for (let round = 0; round < 100; round += 1) await rig.append(100);
  await rig.clock.runForMs(5_000);
  const late = rig.start("vm-1", "dc-b", {}, true);
  rig.hub.latencyMs = 300;
  await rig.clock.runForMs(1_500);
  t.equal(late.follower.appliedOffset, -1, "the state is on its way");
  await rig.append(100);
  late.log.isCut = false;
  await rig.settle(late.follower.catchUpToEnd());
  t.equal(late.follower.appliedOffset, 10_099);
  await rig.clock.runForMs(10_000);
  t.same(
    late.seenOffsets,
    [...late.seenOffsets].sort((left, right) => left - right),
  );
  await rig[Symbol.asyncDispose]();
});

tap.test("a stale snapshot of a paused VM is passed over for a usable one", async (t) => {
  const rig = new followers.FollowerFleet();
  const writer = rig.start("vm-0", "dc-a", { areSnapshotsWritten: true, snapshotEveryRecords: 60 });
  await rig.append(60);
  await rig.clock.runForMs(10_000);
  const early = await rig.settle(rig.log.read(platform.LogStream.Catalogue, 60));
  const stale = early._unsafeUnwrap().records.map(({ payload }) => {
    return { ...(payload as object), snapshotId: "stale" };
  });
  await rig.append(100);
  await rig.clock.runForMs(10_000);
  await rig.appendPayloads(stale);
  rig.truncateBefore(writer.follower.status().snapshotOffset - 20);
  rig.hub.cut("vm-0", "vm-1");
  const fresh = rig.start("vm-1", "dc-b");
  await rig.clock.runForMs(5_000);
  t.ok(fresh.follower.isReady);
  t.equal(fresh.follower.current.hash, writer.follower.current.hash);
  t.equal(rig.counters.countOf("replication.phase_gap"), 0);
  await rig[Symbol.asyncDispose]();
});

tap.test("a follower cut off from its readers reads the log itself, without delay", async (t) => {
  const rig = new followers.FollowerFleet();
  for (let index = 0; index < 5; index += 1) rig.start(`vm-${index}`);
  await rig.clock.runForMs(2_000);
  const readers = rig.vms.filter((vm) => vm.follower.status().isReader);
  const lonely = rig.vms.find((vm) => !readers.includes(vm))!;
  for (const reader of readers) rig.hub.cut(reader.name, lonely.name);
  for (let round = 0; round < 5; round += 1) {
    await rig.append(1);
    await rig.clock.runForMs(900);
    t.equal(lonely.follower.appliedOffset, round);
  }
  for (const reader of readers) rig.hub.heal(reader.name, lonely.name);
  await rig.clock.runForMs(15_000);
  lonely.log.isCut = true;
  await rig.append(1);
  await rig.clock.runForMs(900);
  t.equal(lonely.follower.appliedOffset, 5, "its reader passes records on again");
  await rig[Symbol.asyncDispose]();
});
