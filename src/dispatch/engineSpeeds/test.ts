import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

const SERVICE_NAME = "s";

/** Engines of a third of which each has another speed, as on hardware of two generations. */
const RATIOS = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7].map((speed) => 1 / speed);

const ENGINES = RATIOS.map((_, index) => ({ id: `e${index}`, bornAtWallMs: 1 }));

/** Time of a window of eight events with four tokens each. */
const WINDOW_TOKENS = 32;

/** VMs that share what they observe every 400 ms, with a shared clock. */
class Fleet {
  readonly clock = new virtualClocks.VirtualClock();
  readonly vms: readonly dispatch.EngineSpeeds[];

  constructor(vmsCount: number) {
    this.vms = Array.from({ length: vmsCount }, () => new dispatch.EngineSpeeds(this.clock));
  }

  /** Lets each VM observe one engine at a time for a while, in turn. */
  async observe(durationMs: number, ratioOf: (index: number) => number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 400) {
      await this.clock.runForMs(400);
      this.vms.forEach((vm, vmIndex) => {
        const index = (vmIndex + elapsedMs / 400) % ENGINES.length;
        this.write(vm, index, ratioOf(index));
      });
      this.exchange();
    }
  }

  private write(vm: dispatch.EngineSpeeds, index: number, ratio: number): void {
    const elapsedMs = WINDOW_TOKENS * 12 * ratio;
    const sample = { tokensCount: WINDOW_TOKENS, elapsedMs, maxGapMs: 60 * ratio, runningCount: 4 };
    vm.recordWriting(ENGINES[index]!, sample);
  }

  private exchange(): void {
    this.vms.forEach((from, index) => {
      const statements = from.listOwnStatements();
      for (const to of this.vms) {
        if (to === from) continue;
        for (const statement of statements) to.recordPeerStatement(`vm-${index}`, statement);
      }
    });
  }
}

function ratiosAt(vm: dispatch.EngineSpeeds): readonly number[] {
  const speeds = vm.compare(SERVICE_NAME, ENGINES);
  return ENGINES.map(({ id }) => speeds.get(id)?.writingRatio ?? NaN);
}

tap.test("VMs that see single runs of uneven engines agree on their speeds", async (t) => {
  const fleet = new Fleet(12);
  await fleet.observe(4_000, (index) => RATIOS[index]!);
  for (const vm of fleet.vms) {
    const ratios = ratiosAt(vm);
    t.ok(ratios.every((ratio, index) => (RATIOS[index]! > 1 ? ratio > 1.15 : ratio < 0.75)));
  }
});

tap.test("a disturbance of 600 ms does not make an engine slow", async (t) => {
  const fleet = new Fleet(12);
  await fleet.observe(8_000, () => 1);
  await fleet.observe(600, (index) => (index === 0 ? 2.5 : 1));
  await fleet.clock.runForMs(100);
  t.same(ratiosAt(fleet.vms[0]!), [1, 1, 1, 1, 1, 1]);
});

tap.test("what was learned is gone with the engine's start, and with its age", async (t) => {
  const fleet = new Fleet(4);
  await fleet.observe(4_000, (index) => RATIOS[index]!);
  const [vm] = fleet.vms;
  await fleet.clock.runForMs(200);
  const restarted = ENGINES.map((engine) => ({ ...engine, bornAtWallMs: 2 }));
  t.ok([...vm!.compare(SERVICE_NAME, restarted).values()].every((s) => s.writingRatio === 1));
  vm!.recordFirstEvent(restarted[0]!, 100, 100);
  const [stale] = fleet.vms[1]!.listOwnStatements().filter(({ serverId }) => serverId === "e0");
  if (stale !== undefined) vm!.recordPeerStatement("vm-1", stale);
  const [own] = vm!.listOwnStatements();
  t.equal(own?.bornAtWallMs, 2, "an earlier start does not replace a later one");
  await fleet.clock.runForMs(60_000);
  vm!.retain(new Set(ENGINES.map(({ id }) => id)));
  t.same(vm!.listOwnStatements(), []);
});

tap.test("a message holds only the engines that were observed last", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const vm = new dispatch.EngineSpeeds(clock);
  for (let index = 0; index < 40; index += 1) {
    vm.recordFirstEvent({ id: `e${index}`, bornAtWallMs: 1 }, 400, 400);
    await clock.runForMs(1);
  }
  const ids = vm.listOwnStatements().map(({ serverId }) => serverId);
  t.same(ids, ["e39", "e38", "e37", "e36", "e35", "e34"]);
});

tap.test("long outputs go to fast engines, and slow engines take short ones", async (t) => {
  const slow = fixtures.engine({ serverId: "slow", writingRatio: 1.4, slownessRatio: 1.4 });
  const load = { committedTokens: 11_000, usedTokens: 9_000, runningCount: 3 };
  const fast = fixtures.engine({
    serverId: "fast",
    writingRatio: 0.6,
    slownessRatio: 0.6,
    ...load,
  });
  const long = fixtures.need({ expectedOutputTokens: 900 });
  t.equal(dispatch.selectEngine(long, [slow, fast])?.serverId, "fast");
  const backlog = { ...fast, backlogTokens: 6_000 };
  const short = fixtures.need({ expectedOutputTokens: 12, unreadTokens: 2_200 });
  t.equal(dispatch.selectEngine(short, [slow, backlog])?.serverId, "slow");
  const full = { ...fast, runningCount: fast.slotsCount };
  t.equal(dispatch.selectEngine(long, [slow, full])?.serverId, "slow", "slots stay the limit");
});

tap.test("an engine whose streams would pause too long is the last choice", async (t) => {
  const pausing = fixtures.engine({ serverId: "pausing", runningCount: 3, smoothRunsCount: 3 });
  const behind = fixtures.engine({ serverId: "behind", runningCount: 3, backlogTokens: 9_000 });
  t.equal(dispatch.selectEngine(fixtures.need(), [pausing, behind])?.serverId, "behind");
  t.equal(dispatch.selectEngine(fixtures.need(), [pausing])?.serverId, "pausing");
  const short = fixtures.need({ expectedOutputTokens: 12 });
  t.equal(dispatch.selectEngine(short, [pausing, behind])?.serverId, "pausing", "short outputs");
});
