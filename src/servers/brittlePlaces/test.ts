import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as fleet from "../../fleet/index.js";
import * as constants from "../constants.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as servers from "../index.js";

const SLOTS_COUNT = 6;

const SERVER = fixtures.entry({ slotsCount: SLOTS_COUNT });

const TYPICAL_MS = 80;

const { signal } = new AbortController();

interface Fleet {
  readonly clock: virtualClocks.VirtualClock;
  readonly guards: readonly servers.OverloadGuard[];
  readonly places: readonly servers.BrittlePlaces[];
}

/** Creates VMs that know each other, and that the servers are brittle. */
function setUp(vmsCount: number, knowsFleet = true): Fleet {
  const clock = new virtualClocks.VirtualClock();
  const names = Array.from({ length: vmsCount }, (_, vm) => ({ name: `vm-${vm}` }));
  const orderVms = (key: string): readonly string[] =>
    fleet.rankByRendezvous(key, names).map(({ name }) => name);
  const guards = names.map(() => {
    return new servers.OverloadGuard(clock, () => ({ rank: 0, vmsCount }));
  });
  const places = guards.map((overloadGuard, vm) => {
    overloadGuard.recordAnswer(SERVER, { maxRejectionsPerSecond: 2, isRejection: false });
    return new servers.BrittlePlaces({
      clock,
      vmName: `vm-${vm}`,
      overloadGuard,
      orderVms,
      knowsFleet: () => knowsFleet,
      typicalMs: () => TYPICAL_MS,
    });
  });
  return { clock, guards, places };
}

function findHolder(places: readonly servers.BrittlePlaces[]): servers.BrittlePlaces {
  const found = places.find((each) => each.countPlaces(SERVER) > 0);
  if (found === undefined) throw new Error("no VM has a place");
  return found;
}

for (const vmsCount of [1, 3, 6, 8, 90]) {
  tap.test(`${vmsCount} VMs have as many places as there are slots`, async (t) => {
    const { places } = setUp(vmsCount);
    const sum = places.reduce((total, each) => total + each.countPlaces(SERVER), 0);
    t.equal(sum, SLOTS_COUNT);
    const [first] = places;
    const held = first?.listHolders(SERVER).reduce((total, each) => total + each.placesCount, 0);
    t.equal((held ?? 0) + (first?.countPlaces(SERVER) ?? 0), SLOTS_COUNT, "as others know");
  });
}

tap.test(
  "places bind at brittle servers alone, and are free again after the request",
  async (t) => {
    const { guards, places } = setUp(8);
    const holder = findHolder(places);
    const taken = holder.take(SERVER);
    t.notOk(holder.isFree(SERVER));
    taken[Symbol.dispose]();
    taken[Symbol.dispose]();
    t.ok(holder.isFree(SERVER));
    holder.take(SERVER);
    t.notOk(holder.isFree(SERVER), "a place that was freed twice counts once");
    t.ok(holder.isFree({ ...SERVER, serviceName: "other" }));
    t.equal(guards.length, places.length);
  },
);

tap.test("a place at which a request was rejected rests for a second", async (t) => {
  const { clock, guards, places } = setUp(8);
  const holder = findHolder(places);
  const guard = guards[places.indexOf(holder)];
  guard?.recordAnswer(SERVER, { maxRejectionsPerSecond: 2, isRejection: true });
  t.notOk(holder.isFree(SERVER));
  await clock.runForMs(constants.REJECTION_COUNT_MS);
  t.ok(holder.isFree(SERVER));
});

tap.test("a VM that has not yet read which VMs there are has no places at first", async (t) => {
  const { clock, places } = setUp(2, false);
  t.ok(places.every((each) => each.countPlaces(SERVER) === 0));
  await clock.runForMs(constants.VIEW_SETTLING_MS);
  t.ok(places.every((each) => each.countPlaces(SERVER) === SLOTS_COUNT / 2));
});

tap.test("a place is lent as soon as it is free, and taken until the loan ends", async (t) => {
  const { clock, places } = setUp(8);
  const holder = findHolder(places);
  const own = holder.take(SERVER);
  const loan = holder.lend(SERVER, 100, signal);
  const late = holder.lend(SERVER, 100, signal);
  await clock.runForMs(50);
  own[Symbol.dispose]();
  await clock.runForMs(constants.PLACE_LOAN_INTERVAL_MS);
  const lent = await loan;
  t.ok(lent);
  t.notOk(holder.isFree(SERVER));
  t.equal(holder.lentCount, 1);
  await clock.runForMs(100);
  t.equal(await late, null, "there is only one place");
  lent?.end(true);
  lent?.end(true);
  t.equal(holder.lentCount, 0);
  t.notOk(holder.isFree(SERVER), "the server may still run the request");
  await clock.runForMs(TYPICAL_MS);
  t.ok(holder.isFree(SERVER));
});

tap.test("a VM without places lends none, and a peer that leaves gets none", async (t) => {
  const { places } = setUp(8);
  const without = places.find((each) => each.countPlaces(SERVER) === 0);
  t.equal(await without?.lend(SERVER, 100, signal), null);
  t.equal(await findHolder(places).lend(SERVER, 100, AbortSignal.abort()), null);
});

tap.test("only so many loans of a server wait at a time", async (t) => {
  const { clock, places } = setUp(8);
  const holder = findHolder(places);
  holder.take(SERVER);
  const loans = Array.from({ length: constants.MAX_WAITING_LOANS_COUNT }, () =>
    holder.lend(SERVER, 100, signal),
  );
  t.equal(await holder.lend(SERVER, 100, signal), null, "refused at once");
  await clock.runForMs(200);
  t.same(
    await Promise.all(loans),
    loans.map(() => null),
  );
});
