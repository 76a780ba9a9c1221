import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as dispatch from "../../dispatch/index.js";
import * as servers from "../../servers/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as engineDispatchers from "./index.js";

/** One way between VMs; the data centres are a short hop apart. */
const DATAGRAM_MS = 2;

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
  readonly board: dispatch.WaitingBoard;
  readonly dispatcher: engineDispatchers.EngineDispatcher;
  readonly placedOn: string[] = [];
  isStill = false;

  constructor(
    private readonly fleet: Fleet,
    readonly name: string,
  ) {
    const { clock } = fleet;
    this.directory = new servers.ServerDirectory(clock);
    this.claims = new dispatch.ClaimTable(clock);
    this.board = new dispatch.WaitingBoard(clock);
    const tell = (change: (vm: Vm) => void): void => fleet.tellOthers(this, change);
    this.dispatcher = new engineDispatchers.EngineDispatcher({
      clock,
      random: randoms.createRandom(1),
      vmName: name,
      dataCentre: "dc-a",
      directory: this.directory,
      trust: new servers.ServerTrust(clock),
      claims: this.claims,
      board: this.board,
      broadcast: {
        put: (claim) => tell((vm) => vm.claims.put(claim)),
        release: (requestId, role) => tell((vm) => vm.claims.release(requestId, role)),
        putWaiting: (waiting) => tell((vm) => vm.board.put(waiting)),
        removeWaiting: (requestId) => tell((vm) => vm.board.remove(requestId)),
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

  async place(requestId: string): Promise<void> {
    const placed = await this.dispatcher.place({
      requestId,
      serviceName: fixtures.SERVICE_NAME,
      need: NEED,
      role: dispatch.ClaimRole.Run,
      priority: 1,
      expectedRunMs: 9_000,
      objectiveAtMs: this.fleet.clock.nowMs() + 1_800,
      deadlineAtMs: this.fleet.clock.nowMs() + 39_000,
      avoidedIds: new Set(),
      signal: new AbortController().signal,
    });
    if (placed.isOk()) this.placedOn.push(placed.value.server.entry.id);
  }
}

/** VMs that hear of each other with a delay. */
class Fleet implements Disposable {
  readonly clock = new virtualClocks.VirtualClock();
  readonly vms: readonly Vm[];

  constructor(vmsCount: number) {
    this.vms = Array.from({ length: vmsCount }, (_, index) => new Vm(this, `vm-${index}`));
  }

  tellOthers(from: Vm, change: (vm: Vm) => void): void {
    if (from.isStill) return;
    this.clock.schedule(DATAGRAM_MS, () => {
      for (const vm of this.vms) {
        if (vm === from || vm.isStill) continue;
        change(vm);
        vm.dispatcher.requestPump();
      }
    });
  }

  /** All VMs that do not stand still learn of a server at the same moment. */
  announce(entry: servers.ServerEntry): void {
    for (const vm of this.vms.filter(({ isStill }) => !isStill)) {
      vm.directory.apply(entry);
      vm.dispatcher.requestPump();
    }
  }

  placedOn(serverId: string): number {
    const all = this.vms.flatMap((vm) => vm.placedOn);
    return all.filter((id) => id === serverId).length;
  }

  [Symbol.dispose](): void {
    for (const vm of this.vms) vm.dispatcher[Symbol.dispose]();
  }
}

const FITTING_COUNT = Math.floor((0.95 * MEMORY_TOKENS) / dispatch.neededTokens(NEED));

/** Fills the one engine that there is, and lets a generation wait at each VM. */
async function crowd(fleet: Fleet): Promise<void> {
  fleet.announce(fixtures.serverEntry("full", 1));
  for (let index = 0; index < FITTING_COUNT; index += 1) {
    void fleet.vms[0]!.place(`running-${index}`);
  }
  await fleet.clock.runForMs(10);
  for (const vm of fleet.vms) {
    void vm.place(`of ${vm.name}`);
    await fleet.clock.runForMs(5);
  }
}

tap.test("an engine that starts before a crowd takes what fits, of all VMs together", async (t) => {
  using fleet = new Fleet(12);
  await crowd(fleet);
  t.equal(fleet.placedOn("full"), FITTING_COUNT);
  fleet.announce(fixtures.serverEntry("started", 2));
  await fleet.clock.runForMs(30);
  t.equal(fleet.placedOn("started"), FITTING_COUNT);
  t.same(
    fleet.vms.map((vm) => vm.placedOn.includes("started")),
    fleet.vms.map((_, index) => index < FITTING_COUNT),
    "those that waited longest",
  );
});

tap.test("room of a VM that stands still goes to the next after a moment", async (t) => {
  using fleet = new Fleet(12);
  await crowd(fleet);
  fleet.vms[0]!.isStill = true;
  fleet.announce(fixtures.serverEntry("started", 2));
  await fleet.clock.runForMs(30);
  t.equal(fleet.placedOn("started"), FITTING_COUNT - 1);
  await fleet.clock.runForMs(300);
  const others = fleet.vms.slice(1).filter((vm) => vm.placedOn.includes("started"));
  t.equal(others.length, FITTING_COUNT);
});

tap.test("word of others' work is looked at together, however often it comes", async (t) => {
  using fleet = new Fleet(3);
  await crowd(fleet);
  const [vm] = fleet.vms;
  const candidates = vm!.dispatcher.candidates.bind(vm!.dispatcher);
  let looksCount = 0;
  vm!.dispatcher.candidates = (...args) => {
    looksCount += 1;
    return candidates(...args);
  };
  for (let count = 0; count < 500; count += 1) {
    vm!.dispatcher.requestPump();
    if (count % 5 === 0) await fleet.clock.runForMs(1);
  }
  t.ok(looksCount <= 6, `${looksCount} looks in 100 ms`);
});

tap.test("a newcomer does not go before those who wait elsewhere", async (t) => {
  using fleet = new Fleet(3);
  await crowd(fleet);
  const running = fleet.vms[0]!;
  running.dispatcher.releaseClaim("running-0", dispatch.ClaimRole.Run);
  void fleet.vms[2]!.place("newcomer");
  await fleet.clock.runForMs(30);
  t.equal(fleet.vms[0]!.placedOn.length, FITTING_COUNT + 1, "the first that waited has the room");
  t.equal(fleet.vms[2]!.placedOn.length, 0);
});
