import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as evacuations from "./index.js";

const NOTHING = new Set<string>();
const LISTED = new Set(["dc-a"]);

/** Time within which operators' orders that a restore has lost are written again. */
const REWRITE_MS = 1_500;

function setUp(): {
  readonly clock: virtualClocks.VirtualClock;
  readonly subject: evacuations.Evacuations;
  readonly isEvacuated: () => boolean;
} {
  const clock = new virtualClocks.VirtualClock();
  const subject = new evacuations.Evacuations(clock);
  return { clock, subject, isEvacuated: () => subject.isInForce("dc-a") };
}

tap.test("a listing begins and ends evacuations, each reported once", async (t) => {
  const { clock, subject, isEvacuated } = setUp();
  const changes: boolean[] = [];
  subject.onChange(({ isInForce }) => changes.push(isInForce));
  await clock.runForMs(100);
  subject.applyListing(LISTED, false);
  subject.applyListing(LISTED, false);
  t.ok(isEvacuated());
  t.match(subject.list(), [{ dataCentre: "dc-a", knownSinceMs: 100 }]);
  subject.applyListing(NOTHING, false);
  t.notOk(isEvacuated());
  t.same(changes, [true, false]);
});

tap.test("an evacuation that a restore lost goes on until it is written again", async (t) => {
  const { clock, subject, isEvacuated } = setUp();
  subject.apply("dc-a", true);
  subject.applyListing(NOTHING, true);
  await clock.runForMs(REWRITE_MS);
  subject.applyListing(NOTHING, false);
  subject.sweep();
  t.ok(isEvacuated(), "another listing of the restored store changes nothing");
  subject.apply("dc-a", true);
  await clock.runForMs(10_000);
  subject.sweep();
  t.ok(isEvacuated());
});

tap.test("an evacuation that is not written again after a restore ends", async (t) => {
  const { clock, subject, isEvacuated } = setUp();
  subject.apply("dc-a", true);
  subject.applyListing(NOTHING, true);
  await clock.runForMs(3_000);
  subject.sweep();
  t.notOk(isEvacuated());
});

tap.test("an evacuation that ended does not return with a restored copy", async (t) => {
  const { clock, subject, isEvacuated } = setUp();
  subject.apply("dc-a", true);
  subject.apply("dc-a", false);
  subject.applyListing(LISTED, true);
  await clock.runForMs(REWRITE_MS);
  t.notOk(isEvacuated());
  subject.apply("dc-a", false);
  await clock.runForMs(10_000);
  subject.sweep();
  t.notOk(isEvacuated());
});

tap.test("what the restored store still says after the grace time is followed", async (t) => {
  const { clock, subject, isEvacuated } = setUp();
  subject.apply("dc-a", true);
  subject.apply("dc-a", false);
  subject.applyListing(LISTED, true);
  await clock.runForMs(3_000);
  subject.sweep();
  t.ok(isEvacuated());
});

tap.test("an evacuation that was not known before a restore is in force at once", async (t) => {
  const { subject, isEvacuated } = setUp();
  subject.applyListing(NOTHING, false);
  subject.applyListing(LISTED, true);
  t.ok(isEvacuated());
});

tap.test("a listing that agrees again with what is known ends its doubts", async (t) => {
  const { clock, subject, isEvacuated } = setUp();
  subject.apply("dc-a", true);
  subject.apply("dc-a", false);
  subject.applyListing(LISTED, true);
  subject.applyListing(NOTHING, false);
  await clock.runForMs(3_000);
  subject.sweep();
  t.notOk(isEvacuated());
});
