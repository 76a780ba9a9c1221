import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as dispatch from "../../dispatch/index.js";
import * as servers from "../../servers/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as engineDispatchers from "./index.js";

/** One-way delay between VMs. */
const DATAGRAM_DELAY_MS = 2;

const MEMORY_TOKENS = 21_790;

const NEED: dispatch.GenerationNeed = {
  promptTokens: 3_000,
  unreadTokens: 3_000,
  expectedOutputTokens: 750,
  producedTokens: 0,
  dataCentre: "dc-a",
};

/** A VM's dispatcher with its own view of servers, claims and the queue. */
class Vm {
  readonly directory: servers.ServerDirectory;
  readonly claims: dispatch.ClaimTable;
  readonly fleetQueue: dispatch.FleetQueue;
  readonly dispatcher: engineDispatchers.EngineDispatcher;
  readonly placedServerIds: string[] = [];
  /** Kind of each refusal, and when it was given. */
  readonly refusals: { readonly kind: string; readonly atMs: number }[] = [];
  isPaused = false;

  constructor(
    private readonly fleet: Fleet,
    readonly name: string,
  ) {
    const { clock } = fleet;
    this.directory = new servers.ServerDirectory(clock);
    this.claims = new dispatch.ClaimTable(clock);
    this.fleetQueue = new dispatch.FleetQueue(clock);
    const broadcastChange = (change: (vm: Vm) => void): void => fleet.broadcastChange(this, change);
    this.dispatcher = new engineDispatchers.EngineDispatcher({
      clock,
      random: randoms.createRandom(1),
      vmName: name,
      dataCentre: "dc-a",
      directory: this.directory,
      trust: new servers.ServerTrust(clock),
      backpressure: new servers.ServerBackpressure(clock, () => ({ rank: 0, vmsCount: 1 })),
      claims: this.claims,
      fleetQueue: this.fleetQueue,
      broadcast: {
        announceClaim: (claim) => broadcastChange((vm) => vm.claims.put(claim)),
        announceRelease: (requestId, role) =>
          broadcastChange((vm) => vm.claims.release(requestId, role)),
        announceWaiting: (waiting) => broadcastChange((vm) => vm.fleetQueue.put(waiting)),
        announceWaitingEnd: (requestId) => broadcastChange((vm) => vm.fleetQueue.remove(requestId)),
      },
      engineTraits: () => ({
        slotsCount: 24,
        memoryTokens: MEMORY_TOKENS,
        tokensPerEvent: 4,
        canMoveRuns: true,
        canBackUpRuns: true,
      }),
    });
  }

  async place(requestId: string, accountName: string | null = null): Promise<void> {
    const placed = await this.dispatcher.place({
      requestId,
      serviceName: fixtures.SERVICE_NAME,
      need: NEED,
      role: dispatch.ClaimRole.Run,
      priority: 1,
      accountName,
      expectedRunMs: 9_000,
      objectiveAtMs: this.fleet.clock.nowMs() + 1_800,
      deadlineAtMs: this.fleet.clock.nowMs() + 39_000,
      avoidedIds: new Set(),
      signal: new AbortController().signal,
    });
    if (placed.isOk()) this.placedServerIds.push(placed.value.server.entry.id);
    else this.refusals.push({ kind: placed.error.kind, atMs: this.fleet.clock.nowMs() });
  }
}

/** VMs that exchange work updates with a delay. */
class Fleet implements Disposable {
  readonly clock = new virtualClocks.VirtualClock();
  readonly vms: readonly Vm[];

  constructor(vmsCount: number) {
    this.vms = Array.from({ length: vmsCount }, (_, index) => new Vm(this, `vm-${index}`));
  }

  broadcastChange(from: Vm, change: (vm: Vm) => void): void {
    if (from.isPaused) return;
    this.clock.schedule(DATAGRAM_DELAY_MS, () => {
      for (const vm of this.vms) {
        if (vm === from || vm.isPaused) continue;
        change(vm);
        vm.dispatcher.requestScan();
      }
    });
  }

  /** Adds a server to the views of all VMs that are not paused, at the same time. */
  announce(entry: servers.ServerEntry): void {
    for (const vm of this.vms.filter(({ isPaused }) => !isPaused)) {
      vm.directory.apply(entry);
      vm.dispatcher.requestScan();
    }
  }

  countPlacedOn(serverId: string): number {
    const all = this.vms.flatMap((vm) => vm.placedServerIds);
    return all.filter((id) => id === serverId).length;
  }

  [Symbol.dispose](): void {
    for (const vm of this.vms) vm.dispatcher[Symbol.dispose]();
  }
}

const RUNS_PER_ENGINE_COUNT = Math.floor((0.95 * MEMORY_TOKENS) / dispatch.estimateTokens(NEED));

/** Fills the only engine and queues one generation at each VM. */
async function saturate(fleet: Fleet): Promise<void> {
  fleet.announce(fixtures.createServerEntry("full", 1));
  for (let index = 0; index < RUNS_PER_ENGINE_COUNT; index += 1) {
    void fleet.vms[0]!.place(`running-${index}`);
  }
  await fleet.clock.runForMs(10);
  for (const vm of fleet.vms) {
    void vm.place(`of ${vm.name}`);
    await fleet.clock.runForMs(5);
  }
}

tap.test(
  "a new engine gets as many waiting generations of all VMs as fit, the oldest first",
  async (t) => {
    using fleet = new Fleet(12);
    await saturate(fleet);
    t.equal(fleet.countPlacedOn("full"), RUNS_PER_ENGINE_COUNT);
    fleet.announce(fixtures.createServerEntry("started", 2));
    await fleet.clock.runForMs(30);
    t.equal(fleet.countPlacedOn("started"), RUNS_PER_ENGINE_COUNT);
    t.same(
      fleet.vms.map((vm) => vm.placedServerIds.includes("started")),
      fleet.vms.map((_, index) => index < RUNS_PER_ENGINE_COUNT),
      "the generations that waited longest",
    );
  },
);

tap.test(
  "capacity allocated to a paused VM is reallocated to the next generations in the queue",
  async (t) => {
    using fleet = new Fleet(12);
    await saturate(fleet);
    fleet.vms[0]!.isPaused = true;
    fleet.announce(fixtures.createServerEntry("started", 2));
    await fleet.clock.runForMs(30);
    t.equal(fleet.countPlacedOn("started"), RUNS_PER_ENGINE_COUNT - 1);
    await fleet.clock.runForMs(300);
    const others = fleet.vms.slice(1).filter((vm) => vm.placedServerIds.includes("started"));
    t.equal(others.length, RUNS_PER_ENGINE_COUNT);
  },
);

tap.test("scan requests are coalesced, however frequent they are", async (t) => {
  using fleet = new Fleet(3);
  await saturate(fleet);
  const [vm] = fleet.vms;
  const candidates = vm!.dispatcher.listCandidates.bind(vm!.dispatcher);
  let scansCount = 0;
  vm!.dispatcher.listCandidates = (...args) => {
    scansCount += 1;
    return candidates(...args);
  };
  for (let count = 0; count < 500; count += 1) {
    vm!.dispatcher.requestScan();
    if (count % 5 === 0) await fleet.clock.runForMs(1);
  }
  t.ok(scansCount <= 6, `${scansCount} scans in 100 ms`);
});

tap.test("a new generation does not bypass older ones that wait at other VMs", async (t) => {
  using fleet = new Fleet(3);
  await saturate(fleet);
  const running = fleet.vms[0]!;
  running.dispatcher.releaseClaim("running-0", dispatch.ClaimRole.Run);
  void fleet.vms[2]!.place("newcomer");
  await fleet.clock.runForMs(30);
  t.equal(
    fleet.vms[0]!.placedServerIds.length,
    RUNS_PER_ENGINE_COUNT + 1,
    "the oldest waiting generation gets the capacity",
  );
  t.equal(fleet.vms[2]!.placedServerIds.length, 0);
});

tap.test(
  "what waits for a service all whose engines are evacuated is refused at once",
  async (t) => {
    using fleet = new Fleet(2);
    await saturate(fleet);
    const evacuatedAtMs = fleet.clock.nowMs();
    for (const { directory } of fleet.vms) directory.evacuations.apply("dc-a", true);
    await fleet.clock.runForMs(1_000);
    for (const { refusals } of fleet.vms) {
      t.match(refusals, [{ kind: "evacuated" }]);
      t.ok((refusals[0]?.atMs ?? Infinity) <= evacuatedAtMs + 100, "not at the deadline of 39 s");
    }
  },
);

tap.test("engines of an evacuated data centre get nothing while others are left", async (t) => {
  using fleet = new Fleet(1);
  const [vm] = fleet.vms;
  fleet.announce(fixtures.createServerEntry("near", 1));
  fleet.announce({ ...fixtures.createServerEntry("far", 2), dataCentre: "dc-b" });
  vm?.directory.evacuations.apply("dc-a", true);
  await vm?.place("first");
  vm?.directory.evacuations.apply("dc-a", false);
  await vm?.place("second");
  t.same(vm?.placedServerIds, ["far", "near"]);
});

tap.test(
  "all VMs place an account within its share before one that floods, once room is released",
  async (t) => {
    using fleet = new Fleet(12);
    fleet.announce(fixtures.createServerEntry("full", 1));
    for (let index = 0; index < RUNS_PER_ENGINE_COUNT; index += 1) {
      void fleet.vms[0]!.place(`running-${index}`, "flood");
    }
    await fleet.clock.runForMs(10);
    for (const vm of fleet.vms) void vm.place(`flood of ${vm.name}`, "flood");
    await fleet.clock.runForMs(100);
    void fleet.vms[11]!.place("small", "small");
    await fleet.clock.runForMs(30);
    fleet.vms[0]!.dispatcher.releaseClaim("running-0", dispatch.ClaimRole.Run);
    await fleet.clock.runForMs(30);
    t.same(
      fleet.vms.map((vm) => vm.placedServerIds.length),
      fleet.vms.map((_, index) => [RUNS_PER_ENGINE_COUNT, 1][[0, 11].indexOf(index)] ?? 0),
      "the last VM, where the small account waits, has the released room",
    );
  },
);
