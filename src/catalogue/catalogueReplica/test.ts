import tap from "tap";

import * as logger from "../../_lib/logger/index.js";
import * as virtualClock from "../../_lib/virtualClock/index.js";
import * as fleetView from "../../../standins/fleet/model/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import * as hub from "../../../standins/peers/hub/index.js";
import * as counters from "../../../standins/telemetry/counters/index.js";
import * as appendBudgets from "../../controlPlane/appendBudget/index.js";
import * as platform from "../../controlPlane/types.js";
import * as replication from "../../replication/index.js";
import * as diffItems from "../diffItems/index.js";
import * as types from "../types.js";
import * as catalogueReplica from "./index.js";

class Fleet {
  readonly clock = new virtualClock.VirtualClock();
  readonly log = new logModel.LogModel(this.clock);
  readonly hub = new hub.PeerHub(this.clock);
  readonly model = new fleetView.FleetModel();
  readonly metrics = new counters.CounterModel();

  /** Starts a VM; a log of its own allows a fault for this VM only. */
  start(name: string, dataCentre = "dc-a", log = this.log, options = {}): Replica {
    this.model.add(name, dataCentre);
    const replica = new catalogueReplica.CatalogueReplica(
      this.clock,
      logger.NOOP_LOGGER,
      this.metrics,
      log,
      this.hub.join(name),
      this.model.viewOf(name),
      new appendBudgets.AppendBudget(this.clock, () => 4),
      { ...replication.DEFAULT_FOLLOWER_OPTIONS, ...options },
    );
    replica.start();
    return replica;
  }

  /** Advances the clock until the work is done or the limit is reached. */
  async settle<T>(work: Promise<T>, limitMs = 20_000): Promise<T> {
    const progress = { isDone: false };
    void work.finally(() => (progress.isDone = true)).catch(() => undefined);
    for (let ms = 0; ms < limitMs && !progress.isDone; ms += 50) await this.clock.runForMs(50);
    return work;
  }

  async stop(...replicas: Replica[]): Promise<void> {
    await this.settle(Promise.all(replicas.map((replica) => replica[Symbol.asyncDispose]())));
  }
}

type Replica = catalogueReplica.CatalogueReplica;

let changesCount = 0;

function createVmChange(
  name: string,
  baseRevision: number | null,
  state = types.DesiredState.Active,
): types.ChangeRecord {
  const kind = types.ItemKind.Vm;
  const changeId = `change-${changesCount++}`;
  const item: types.VmItem = { kind, name, state };
  return { type: "change", changeId, operator: "op", kind, name, baseRevision, item };
}

tap.test("a change accepted at one VM is applied at all others within a second", async (t) => {
  const fleet = new Fleet();
  const replicas = ["a", "b", "c", "d"].map((name) => fleet.start(name));
  await fleet.clock.runForMs(1_000);
  t.ok(replicas.every((replica) => replica.isReady));
  const outcome = await fleet.settle(replicas[3]!.propose(createVmChange("vm-1", null)));
  t.equal(outcome._unsafeUnwrap().isAccepted, true);
  await fleet.clock.runForMs(900);
  t.same(
    replicas.map((replica) => replica.current().items.has("vm/vm-1")),
    [true, true, true, true],
  );
  const status = await fleet.settle(replicas[0]!.status());
  t.same(
    status.map((vm) => vm.appliedOffset),
    [0, 0, 0, 0],
  );
  await fleet.stop(...replicas);
});

tap.test(
  "of two concurrent changes all VMs accept the same one, and the other's outcome states the revision",
  async (t) => {
    const fleet = new Fleet();
    const [left, right] = [fleet.start("a"), fleet.start("b", "dc-b")];
    await fleet.clock.runForMs(1_000);
    const work = Promise.all([
      left.propose(createVmChange("vm-1", null, types.DesiredState.Draining)),
      right.propose(createVmChange("vm-1", null)),
    ]);
    const outcomes = (await fleet.settle(work)).map((outcome) => outcome._unsafeUnwrap());
    t.equal(outcomes.filter((outcome) => outcome.isAccepted).length, 1);
    const loser = outcomes.find((outcome) => !outcome.isAccepted)!;
    t.equal(loser.currentRevision, 0);
    t.same(left.current().items.get("vm/vm-1"), right.current().items.get("vm/vm-1"));
    await fleet.stop(left, right);
  },
);

tap.test(
  "after a lost append answer the outcome is read from the log, without a second append",
  async (t) => {
    const fleet = new Fleet();
    const replica = fleet.start("a");
    await fleet.clock.runForMs(1_000);
    fleet.log.inject(logModel.LogFault.LostAnswer);
    const outcome = await fleet.settle(replica.propose(createVmChange("vm-1", null)));
    t.equal(outcome._unsafeUnwrap().isAccepted, true);
    t.equal(fleet.log.appendsCount, 1);
    await fleet.stop(replica);
  },
);

tap.test("a change proposed while the log is down fails as not-run", async (t) => {
  const fleet = new Fleet();
  const replica = fleet.start("a");
  await fleet.clock.runForMs(1_000);
  fleet.log.inject(logModel.LogFault.Down);
  const outcome = await fleet.settle(replica.propose(createVmChange("vm-1", null)));
  t.equal(outcome._unsafeUnwrapErr().execution, "not-run");
  await fleet.stop(replica);
});

tap.test("an invalid record from another tool is skipped, and the reason is kept", async (t) => {
  const fleet = new Fleet();
  const replica = fleet.start("a");
  await fleet.settle(fleet.log.append(platform.LogStream.Catalogue, [{ type: "change" }, 7]));
  const outcome = await fleet.settle(replica.propose(createVmChange("vm-1", null)));
  t.equal(outcome._unsafeUnwrap().currentRevision, 2);
  t.equal(replica.describe().skipped.length, 2);
  t.match(replica.describe().skipped[0]!.reason, /changeId/);
  await fleet.stop(replica);
});

tap.test(
  "the history of an item and the difference between two of its revisions are listed",
  async (t) => {
    const fleet = new Fleet();
    const replica = fleet.start("a");
    await fleet.settle(replica.propose(createVmChange("vm-1", null)));
    await fleet.settle(replica.propose(createVmChange("vm-2", null)));
    await fleet.settle(replica.propose(createVmChange("vm-1", 0, types.DesiredState.Draining)));
    const history = await fleet.settle(replica.history(types.ItemKind.Vm, "vm-1"));
    const entries = history._unsafeUnwrap();
    t.same(
      entries.map((entry) => entry.offset),
      [0, 2],
    );
    const [before, after] = entries.map((entry) => entry.change.item);
    t.same(diffItems.diffItems(before!, after!), [
      { path: "state", before: "active", after: "draining" },
    ]);
    await fleet.stop(replica);
  },
);

tap.test("a VM catches up after a pause, and its applied offset never decreases", async (t) => {
  const fleet = new Fleet();
  const [left, right] = [fleet.start("a"), fleet.start("b", "dc-b")];
  await fleet.clock.runForMs(1_000);
  const resume = fleet.hub.pause("b");
  const seen: number[] = [];
  right.onChange((state) => seen.push(state.appliedOffset));
  for (const [index, base] of [null, 0, 1].entries()) {
    await fleet.settle(left.propose(createVmChange(`vm-1`, base)));
    t.equal(left.appliedOffset, index);
  }
  resume();
  await fleet.clock.runForMs(3_000);
  t.same(seen, [0, 1, 2]);
  await fleet.stop(left, right);
});
