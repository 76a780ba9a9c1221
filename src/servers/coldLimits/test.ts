import * as fastCheck from "fast-check";
import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as servers from "../index.js";

/** Bounds of the platform: what a cold server may get in any second is 1.5 of its rate, and 5. */
const BOUNDS: servers.ColdBounds = { overrunRatio: 1.5, toleranceCount: 5 };

const STEP_MS = 10;

/** Time after which a VM knows the others. */
const SETTLED_MS = 10_000;

/** Time by which an entry reaches some VMs later than others: its heartbeat interval. */
const MAX_LATENESS_MS = 1_200;

interface FleetOptions {
  readonly vmsCount: number;
  readonly ratePerSecond: number;
  readonly rankOf?: (vmIndex: number) => servers.VmRank;
}

/** A VM with its own view of the servers. */
interface Vm {
  readonly directory: servers.ServerDirectory;
  readonly limits: servers.ColdLimits;
}

function createVm(
  clock: virtualClocks.VirtualClock,
  ratePerSecond: number,
  rank: servers.VmRank,
): Vm {
  const directory = new servers.ServerDirectory(clock);
  const limits = new servers.ColdLimits({
    clock,
    bounds: BOUNDS,
    findServer: (serverId) => directory.find(serverId),
    listServers: () => directory.listAll(),
    coldStartOf: () => ({ ratePerSecond, durationMs: 1_000 }),
    rankOf: () => rank,
  });
  return { directory, limits };
}

function createVms(
  clock: virtualClocks.VirtualClock,
  { vmsCount, ratePerSecond, rankOf }: FleetOptions,
): readonly Vm[] {
  return Array.from({ length: vmsCount }, (_, index) =>
    createVm(clock, ratePerSecond, rankOf?.(index) ?? { rank: index, vmsCount }),
  );
}

/** Lets every VM that knows the server send whenever it may; returns the times of the requests. */
async function sendEagerly(
  clock: virtualClocks.VirtualClock,
  vms: readonly Vm[],
  durationMs: number,
): Promise<readonly number[]> {
  const sentAtMs: number[] = [];
  for (const endMs = clock.nowMs() + durationMs; clock.nowMs() < endMs;) {
    for (const { directory, limits } of vms) {
      const entry = directory.find("e1")?.entry;
      if (entry === undefined || limits.delayMs(entry) > 0) continue;
      limits.reserve(entry);
      sentAtMs.push(clock.nowMs());
    }
    await clock.runForMs(STEP_MS);
  }
  return sentAtMs;
}

/** Most requests in any second. */
function maxPerSecond(sentAtMs: readonly number[]): number {
  let most = 0;
  let from = 0;
  for (const [index, atMs] of sentAtMs.entries()) {
    while ((sentAtMs[from] ?? 0) <= atMs - 1_000) from += 1;
    most = Math.max(most, index - from + 1);
  }
  return most;
}

function allowedCount(ratePerSecond: number): number {
  return ratePerSecond * BOUNDS.overrunRatio + BOUNDS.toleranceCount;
}

for (const vmsCount of [12, 30, 90]) {
  for (const ratePerSecond of [10, 24]) {
    const name = `${vmsCount} VMs that learn of a cold server at different times keep its rate of ${ratePerSecond}`;
    tap.test(name, async (t) => {
      const clock = new virtualClocks.VirtualClock();
      const random = randoms.createRandom(vmsCount);
      const vms = createVms(clock, { vmsCount, ratePerSecond });
      await clock.runForMs(SETTLED_MS);
      const writtenAtMs = clock.nowMs();
      for (const { directory } of vms) {
        // The entry tells what remained when it was written, however late it comes.
        const entry = fixtures.entry({ coldRemainingMs: 5_000 });
        clock.schedule(MAX_LATENESS_MS * random.next(), () => void directory.apply(entry));
      }
      const sentAtMs = await sendEagerly(clock, vms, 5_000);
      const perSecond = sentAtMs.length / ((clock.nowMs() - writtenAtMs) / 1_000);
      const most = maxPerSecond(sentAtMs);
      t.ok(most <= allowedCount(ratePerSecond), `${most} of ${allowedCount(ratePerSecond)}`);
      t.ok(perSecond >= ratePerSecond / 2, `${perSecond} a second of ${ratePerSecond} are used`);
    });
  }
}

tap.test(
  "any number of VMs keeps any rate, also in two parts that do not know each other",
  async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.integer({ min: 2, max: 90 }),
        fastCheck.double({ min: 0.3, max: 60, noNaN: true }),
        fastCheck.integer({ min: 1, max: 89 }),
        async (vmsCount, ratePerSecond, split) => {
          const clock = new virtualClocks.VirtualClock();
          const firstCount = Math.min(split, vmsCount - 1);
          const rankOf = (index: number): servers.VmRank =>
            index < firstCount
              ? { rank: index, vmsCount: firstCount }
              : { rank: index - firstCount, vmsCount: vmsCount - firstCount };
          const vms = createVms(clock, { vmsCount, ratePerSecond, rankOf });
          for (const { directory } of vms)
            directory.apply(fixtures.entry({ coldRemainingMs: 60_000 }));
          await clock.runForMs(SETTLED_MS);
          const sentAtMs = await sendEagerly(clock, vms, 4_000);
          return sentAtMs.length > 0 && maxPerSecond(sentAtMs) <= allowedCount(ratePerSecond);
        },
      ),
      { seed: 11, numRuns: 40 },
    );
  },
);

tap.test("VMs that have just started send nothing to a cold server", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const rankOf = (): servers.VmRank => ({ rank: 0, vmsCount: 1 });
  const vms = createVms(clock, { vmsCount: 90, ratePerSecond: 24, rankOf });
  for (const { directory } of vms) directory.apply(fixtures.entry({ coldRemainingMs: 3_000 }));
  t.same(await sendEagerly(clock, vms, 2_900), []);
  t.ok((await sendEagerly(clock, vms, 200)).length >= 90, "all send once it is warm");
});

tap.test("a VM that knows no other sends one request a second", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const vms = createVms(clock, { vmsCount: 1, ratePerSecond: 24 });
  vms[0]?.directory.apply(fixtures.entry({ coldRemainingMs: 60_000 }));
  await clock.runForMs(SETTLED_MS);
  t.equal(maxPerSecond(await sendEagerly(clock, vms, 3_000)), 1);
});

tap.test("a VM without a share waits for no longer than the server is cold", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const { directory, limits } = createVm(clock, 10, { rank: 40, vmsCount: 58 });
  await clock.runForMs(SETTLED_MS);
  const entry = fixtures.entry({ coldRemainingMs: 900 });
  directory.apply(entry);
  t.equal(limits.delayMs(entry), 900);
  t.same(limits.listCold(), ["e1"]);
  await clock.runForMs(600);
  t.equal(limits.delayMs(entry), 300);
  await clock.runForMs(300);
  t.equal(limits.delayMs(entry), 0);
  t.same(limits.listCold(), []);
});

tap.test("an entry that is listed again does not make a server cold again", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const { directory, limits } = createVm(clock, 10, { rank: 40, vmsCount: 58 });
  const entry = fixtures.entry({ coldRemainingMs: 900 });
  directory.apply(entry);
  await clock.runForMs(800);
  directory.apply(entry);
  t.equal(limits.delayMs(entry), 100);
  directory.apply({ ...entry, sequence: 2 });
  t.equal(limits.delayMs(entry), 900, "a newer one does");
});

tap.test(
  "a server that refused connections is limited before its entry tells of a restart",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    const { Served, Unreachable } = servers.AttemptVerdict;
    const vms = createVms(clock, { vmsCount: 90, ratePerSecond: 10 });
    const entry = fixtures.entry();
    for (const { directory } of vms) directory.apply(entry);
    await clock.runForMs(SETTLED_MS);
    for (const { limits } of vms) limits.recordOutcome("e1", Unreachable);
    t.equal(vms[0]?.limits.delayMs(entry), 0, "a connection that timed out shows no restart");
    for (const { limits } of vms) limits.recordRefusedConnection("e1");
    const most = maxPerSecond(await sendEagerly(clock, vms, 2_000));
    t.ok(most <= allowedCount(10), `${most} of ${allowedCount(10)}`);
    const [first] = vms as [Vm];
    first.limits.recordOutcome("e1", Served);
    await clock.runForMs(1_000);
    t.equal(first.limits.delayMs(entry), 0, "it is warm a cold time after its first answer");
    first.limits.recordRefusedConnection("e1");
    const restarted = { ...entry, bornAtWallMs: 2_000, sequence: 0 };
    first.directory.apply(restarted);
    t.equal(first.limits.delayMs(restarted), 0, "the entry of a new start is believed");
  },
);

tap.test("a server that is assumed to be cold is so for as long as after a start", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const { directory, limits } = createVm(clock, 10, { rank: 40, vmsCount: 58 });
  const entry = fixtures.entry();
  directory.apply(entry);
  limits.assumeCold("e1");
  t.equal(limits.delayMs(entry), 1_000);
  await clock.runForMs(1_000);
  t.equal(limits.delayMs(entry), 0);
});

tap.test("nothing is limited without a stated rate or without bounds", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const directory = new servers.ServerDirectory(clock);
  const entry = fixtures.entry({ coldRemainingMs: 5_000 });
  directory.apply(entry);
  const context = {
    clock,
    findServer: (serverId: string) => directory.find(serverId),
    listServers: () => directory.listAll(),
    rankOf: () => ({ rank: 5, vmsCount: 6 }),
  };
  const coldStart = { ratePerSecond: 1, durationMs: 1_000 };
  const unstated = { ...context, bounds: BOUNDS, coldStartOf: () => null };
  const unbounded = { ...context, bounds: null, coldStartOf: () => coldStart };
  t.equal(new servers.ColdLimits(unstated).delayMs(entry), 0);
  t.equal(new servers.ColdLimits(unbounded).delayMs(entry), 0);
});
