import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as servers from "../index.js";

const { AttemptVerdict } = servers;

tap.test("a server that cannot be reached is left alone, longer each time", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const trust = new servers.ServerTrust(clock);
  const entry = fixtures.entry();
  trust.note(entry, AttemptVerdict.Unreachable, 1);
  t.ok(trust.isSuspended("e1"));
  await clock.runForMs(constants.MIN_SUSPENSION_MS);
  t.notOk(trust.isSuspended("e1"));
  trust.note(entry, AttemptVerdict.Unreachable, 1);
  await clock.runForMs(constants.MIN_SUSPENSION_MS);
  t.ok(trust.isSuspended("e1"), "the second pause is longer");
  trust.note(entry, AttemptVerdict.Served, 20);
  t.notOk(trust.isSuspended("e1"), "an answer ends it");
});

tap.test("failures raise the ratio, answers lower it", async (t) => {
  const trust = new servers.ServerTrust(new virtualClocks.VirtualClock());
  const entry = fixtures.entry();
  for (let index = 0; index < 20; index += 1) trust.note(entry, AttemptVerdict.Failed, 5);
  const failing = trust.failureRatio("e1");
  t.ok(failing > 0.8, `after failures: ${failing}`);
  for (let index = 0; index < 20; index += 1) trust.note(entry, AttemptVerdict.Served, 5);
  t.ok(trust.failureRatio("e1") < 0.2);
  t.notOk(trust.isSuspended("e1"), "answers that are failures do not suspend");
});

tap.test("two servers of a data centre out of reach make the way there suspect", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const trust = new servers.ServerTrust(clock);
  trust.note(fixtures.entry({ id: "e1" }), AttemptVerdict.Unreachable, 1);
  t.notOk(trust.isSuspected("dc-a"), "one may have died");
  trust.note(fixtures.entry({ id: "e2" }), AttemptVerdict.Unreachable, 1);
  t.ok(trust.isSuspected("dc-a"));
  t.notOk(trust.isSuspected("dc-b"));
  trust.note(fixtures.entry({ id: "e3" }), AttemptVerdict.Failed, 1);
  t.notOk(trust.isSuspected("dc-a"), "any answer from there clears it");
});

tap.test("suspicion of a data centre ends by itself, so that the way is tried again", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const trust = new servers.ServerTrust(clock);
  trust.note(fixtures.entry({ id: "e1" }), AttemptVerdict.Unreachable, 1);
  trust.note(fixtures.entry({ id: "e2" }), AttemptVerdict.Unreachable, 1);
  await clock.runForMs(constants.CUT_SUSPICION_MS);
  t.notOk(trust.isSuspected("dc-a"));
});

tap.test("servers that are gone are forgotten", async (t) => {
  const trust = new servers.ServerTrust(new virtualClocks.VirtualClock());
  trust.note(fixtures.entry(), AttemptVerdict.Failed, 5);
  trust.retain(new Set());
  t.equal(trust.failureRatio("e1"), 0);
});
