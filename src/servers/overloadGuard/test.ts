import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as servers from "../index.js";

const SERVER = fixtures.entry();

const STURDY = { maxRejectionsPerSecond: null, isRejection: false };
const BRITTLE = { maxRejectionsPerSecond: 5, isRejection: false };
const REJECTION = { maxRejectionsPerSecond: 5, isRejection: true };

function setUp(vmsCount: number): {
  readonly clock: virtualClocks.VirtualClock;
  readonly guards: readonly servers.OverloadGuard[];
} {
  const clock = new virtualClocks.VirtualClock();
  const guards = Array.from({ length: vmsCount }, (_, rank) => {
    return new servers.OverloadGuard(clock, () => ({ rank, vmsCount }));
  });
  return { clock, guards };
}

tap.test(
  "a service is brittle until its servers have answered otherwise for a while",
  async (t) => {
    const { clock, guards } = setUp(1);
    const [guard] = guards;
    guard?.recordAnswer(SERVER, STURDY);
    t.notOk(guard?.isBrittle(SERVER.serviceName));
    guard?.recordAnswer(SERVER, BRITTLE);
    t.ok(guard?.isBrittle(SERVER.serviceName));
    await clock.runForMs(1.5 * constants.OVERLOAD_RETENTION_MS);
    t.ok(guard?.isBrittle(SERVER.serviceName), "nobody has called it meanwhile");
    guard?.recordAnswer(SERVER, BRITTLE);
    await clock.runForMs(constants.OVERLOAD_RETENTION_MS / 2);
    guard?.recordAnswer({ ...SERVER, id: "e9" }, STURDY);
    t.ok(guard?.isBrittle(SERVER.serviceName), "one that has just started may not know");
    await clock.runForMs(constants.OVERLOAD_RETENTION_MS / 2);
    guard?.recordAnswer(SERVER, STURDY);
    t.notOk(guard?.isBrittle(SERVER.serviceName));
  },
);

// Guards against a VM that refuses calls for ever, as it gets no answer that says that servers are sound again.
tap.test("a VM without answers takes servers for brittle no longer than a while", async (t) => {
  const { clock, guards } = setUp(1);
  const [guard] = guards;
  guard?.recordPeerOverload({ serviceName: SERVER.serviceName, rejectedAgoMs: 0, brittleAgoMs: 0 });
  t.ok(guard?.isBrittle(SERVER.serviceName));
  await clock.runForMs(constants.BRITTLE_BELIEF_LIFETIME_MS);
  t.notOk(guard?.isBrittle(SERVER.serviceName));
});

tap.test("VMs tell each other which services are brittle, and for how long no more", async (t) => {
  const { clock, guards } = setUp(2);
  const [first, last] = guards;
  first?.recordAnswer(SERVER, BRITTLE);
  for (const overload of first?.listOverloads() ?? []) last?.recordPeerOverload(overload);
  t.ok(last?.isBrittle(SERVER.serviceName));
  await clock.runForMs(constants.OVERLOAD_RETENTION_MS);
  last?.recordAnswer(SERVER, STURDY);
  t.notOk(last?.isBrittle(SERVER.serviceName));
  for (const overload of first?.listOverloads() ?? []) last?.recordPeerOverload(overload);
  t.notOk(last?.isBrittle(SERVER.serviceName), "an old statement is no news");
  last?.recordPeerOverload({ serviceName: SERVER.serviceName, rejectedAgoMs: 0 });
  t.notOk(last?.isBrittle(SERVER.serviceName), "an earlier release tells rejections alone");
});

tap.test("a server has rejected too many once its own rejections reach its limit", async (t) => {
  const { clock, guards } = setUp(2);
  const [guard] = guards;
  const other = { ...SERVER, id: "e2" };
  const restarted = { ...SERVER, bornAtWallMs: SERVER.bornAtWallMs + 1 };
  // Limit of 5, of which this VM sees every second one.
  for (let count = 1; count <= 3; count += 1) {
    t.notOk(guard?.hasRejectedTooMany(SERVER), `after ${count - 1} rejections`);
    guard?.recordAnswer(SERVER, REJECTION);
    guard?.recordAnswer(other, BRITTLE);
  }
  t.ok(guard?.hasRejectedTooMany(SERVER));
  t.notOk(guard?.hasRejectedTooMany(other), "another server of the service");
  t.notOk(guard?.hasRejectedTooMany(restarted), "the next start of the server");
  await clock.runForMs(constants.REJECTION_COUNT_MS);
  t.notOk(guard?.hasRejectedTooMany(SERVER), "a second later");
});

tap.test("rejections by a server that states no limit do not make it crash", async (t) => {
  const [guard] = setUp(1).guards;
  for (let count = 0; count < 20; count += 1)
    guard?.recordAnswer(SERVER, { maxRejectionsPerSecond: null, isRejection: true });
  t.notOk(guard?.hasRejectedTooMany(SERVER));
});

// Guards against statements that grow younger with each VM that passes them on.
tap.test("what VMs tell each other ends as soon as what one has heard itself", async (t) => {
  const delayMs = 15;
  const intervalMs = 250;
  const { clock, guards } = setUp(20);
  guards[0]?.recordAnswer(SERVER, BRITTLE);
  for (const [rank, sender] of guards.entries()) {
    const tell = (): void => {
      const overloads = sender.listOverloads();
      clock.schedule(delayMs, () => {
        for (const guard of guards)
          if (guard !== sender) overloads.forEach((overload) => guard.recordPeerOverload(overload));
      });
      clock.schedule(intervalMs, tell);
    };
    clock.schedule((intervalMs * (rank + 1)) / guards.length, tell);
  }
  const isBrittle = (): boolean => guards.some((guard) => guard.isBrittle(SERVER.serviceName));
  while (isBrittle() && clock.nowMs() < 120_000) {
    await clock.runForMs(100);
    for (const guard of guards) guard.recordAnswer(SERVER, STURDY);
  }
  const endedAtMs = clock.nowMs();
  t.ok(
    endedAtMs < 1.2 * constants.OVERLOAD_RETENTION_MS,
    `brittle for ${Math.round(endedAtMs)} ms`,
  );
});
