import tap from "tap";

import type * as servers from "../../servers/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as plainReplays from "../_lib/plainReplay/index.js";
import type * as relayContext from "../relayContext.js";

const OPTIONS = { isIdempotent: false, objectiveMs: 400, knowledgeAgeMs: 250, seed: 3 };

const BRITTLENESS = { maxRejectionsPerSecond: 2, downMs: 3_000, letsWait: false };

function contextsOf(replay: plainReplays.PlainReplay): readonly relayContext.RelayContext[] {
  const { vms } = replay as unknown as { vms: { context: relayContext.RelayContext }[] };
  return vms.map(({ context }) => context);
}

/** Tells all VMs that the servers are brittle. */
function makeBrittle(replay: plainReplays.PlainReplay): void {
  for (const server of replay.servers) server.brittleness = BRITTLENESS;
  for (const { overloadGuard } of contextsOf(replay))
    overloadGuard.recordPeerOverload({
      serviceName: fixtures.SERVICE_NAME,
      rejectedAgoMs: 60_000,
      brittleAgoMs: 0,
    });
}

// Guards against a VM that sends its calls to the one server where it has a place, although that has ended.
tap.test("a VM whose only place is at a server that is down borrows one at another", async (t) => {
  const replay = new plainReplays.PlainReplay({ ...OPTIONS, vmsCount: 8 });
  const slots = { slotsCount: 1, placesCount: 1, workMs: 20 };
  const down = replay.addServer("s0", slots);
  replay.addServer("s1", slots);
  replay.addServer("s2", slots);
  makeBrittle(replay);
  const contexts = contextsOf(replay);
  const vm = contexts.findIndex(({ places }) => places.countPlaces(down.entry) > 0);
  const counts = replay.servers.map(({ entry }) => contexts[vm]?.places.countPlaces(entry));
  t.same(counts, [1, 0, 0]);
  for (let count = 0; count < 4; count += 1) down.take();
  t.ok(down.isDown);
  for (let count = 0; count < 10; count += 1) {
    replay.call(vm);
    await replay.clock.runForMs(100);
  }
  await replay.clock.runForMs(1_000);
  const servedCount = replay.statuses.filter((status) => status === 200).length;
  t.ok(servedCount >= 8, `${servedCount} of 10 calls served, while two servers are idle`);
});

// Guards against lenders that do not hear of the rejections of what they lend places for.
tap.test("a place at which a borrower was rejected rests, as one of the VM itself", async (t) => {
  for (const isBorrowed of [false, true]) {
    const replay = new plainReplays.PlainReplay({ ...OPTIONS, vmsCount: 8 });
    const server = replay.addServer("s0", { slotsCount: 1, placesCount: 0, workMs: 60_000 });
    makeBrittle(replay);
    server.take();
    const hasPlace = contextsOf(replay).map(({ places }) => places.countPlaces(server.entry) > 0);
    const vm = hasPlace.indexOf(!isBorrowed);
    for (let count = 0; count < 9; count += 1) {
      replay.call(vm);
      await replay.clock.runForMs(100);
    }
    const { rejectionsCount, fallsCount } = server;
    t.comment(`borrowed: ${String(isBorrowed)}, ${rejectionsCount} rejections in 0.9 s`);
    t.equal(fallsCount, 0, `borrowed: ${String(isBorrowed)}`);
  }
});

// Guards against calls that all ask for a loan while a server takes one request, and are then all sent.
tap.test("calls on loan keep to the rate that a server states", async (t) => {
  for (const isBorrowed of [false, true]) {
    const replay = new plainReplays.PlainReplay({ ...OPTIONS, vmsCount: 8 });
    const contexts = contextsOf(replay);
    const limitRate = (entry: servers.ServerEntry): void => {
      for (const { backpressure } of contexts) backpressure.record(entry, 1);
    };
    const maySend = ({ backpressure, places }: relayContext.RelayContext, id: string): boolean => {
      const entry = { ...fixtures.createServerEntry(id, 1), slotsCount: 6 };
      limitRate(entry);
      return backpressure.delayMs(entry) === 0 && places.countPlaces(entry) > 0 !== isBorrowed;
    };
    const ids = Array.from({ length: 30 }, (_, index) => `s${index}`);
    const id = ids.find((one) => contexts.some((context) => maySend(context, one)));
    if (id === undefined) throw new Error("no such server");
    const server = replay.addServer(id, { slotsCount: 6, placesCount: 6, workMs: 20 });
    const vm = contexts.findIndex((context) => maySend(context, id));
    limitRate(server.entry);
    makeBrittle(replay);
    for (let count = 0; count < 20; count += 1) replay.call(vm);
    await replay.clock.runForMs(1_000);
    const { arrivalsCount } = server;
    const message = `borrowed: ${String(isBorrowed)}, ${arrivalsCount} requests in a second`;
    t.ok(arrivalsCount <= 2, message);
  }
});

/** Questions for a loan that one call may cost the holders, on average. */
const MAX_QUESTIONS_PER_CALL = 15;

const DURATION_MS = 2_000;

// Guards against waiting calls that keep the VMs with places busy with connections that are refused at once.
tap.test("calls that wait ask the VMs with places no more often than these can bear", async (t) => {
  const replay = new plainReplays.PlainReplay({ ...OPTIONS, vmsCount: 195, objectiveMs: 1_600 });
  const work = { slotsCount: 6, placesCount: 0, workMs: 86 };
  for (const id of ["s0", "s1", "s2"]) replay.addServer(id, work);
  makeBrittle(replay);
  let questionsCount = 0;
  for (const { places } of contextsOf(replay)) {
    const lend = places.lend.bind(places);
    places.lend = (...loan) => {
      questionsCount += 1;
      return lend(...loan);
    };
  }
  const callsPerMs = (3 * 3 * work.slotsCount) / work.workMs;
  while (replay.clock.nowMs() < DURATION_MS) {
    replay.call(Math.floor(replay.random.next() * 195));
    await replay.clock.runForMs(1 / callsPerMs);
  }
  const callsCount = DURATION_MS * callsPerMs;
  t.comment(`${questionsCount} questions in ${DURATION_MS} ms for ${Math.round(callsCount)} calls`);
  t.ok(questionsCount <= MAX_QUESTIONS_PER_CALL * callsCount);
});
