import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as servers from "../index.js";

const { AttemptVerdict } = servers;

tap.test("an unreachable server is suspended for longer each time", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const trust = new servers.ServerTrust(clock);
  const entry = fixtures.entry();
  trust.recordOutcome(entry, AttemptVerdict.Unreachable, 1);
  t.ok(trust.isSuspended("e1"));
  await clock.runForMs(constants.MIN_SUSPENSION_MS);
  t.notOk(trust.isSuspended("e1"));
  trust.recordOutcome(entry, AttemptVerdict.Unreachable, 1);
  await clock.runForMs(constants.MIN_SUSPENSION_MS);
  t.ok(trust.isSuspended("e1"), "the second suspension is longer");
  trust.recordOutcome(entry, AttemptVerdict.Served, 20);
  t.notOk(trust.isSuspended("e1"), "an answer ends the suspension");
});

tap.test("failures raise the failure ratio, and answers lower it", async (t) => {
  const trust = new servers.ServerTrust(new virtualClocks.VirtualClock());
  const entry = fixtures.entry();
  for (let index = 0; index < 20; index += 1) trust.recordOutcome(entry, AttemptVerdict.Failed, 5);
  const failing = trust.failureRatio("e1");
  t.ok(failing > 0.8, `after failures: ${failing}`);
  for (let index = 0; index < 20; index += 1) trust.recordOutcome(entry, AttemptVerdict.Served, 5);
  t.ok(trust.failureRatio("e1") < 0.2);
  t.notOk(trust.isSuspended("e1"), "failed answers do not cause a suspension");
});

tap.test("two unreachable servers of a data centre raise a suspicion of a partition", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const trust = new servers.ServerTrust(clock);
  trust.recordOutcome(fixtures.entry({ id: "e1" }), AttemptVerdict.Unreachable, 1);
  t.notOk(trust.isPartitionSuspected("dc-a"), "a single server may have failed");
  trust.recordOutcome(fixtures.entry({ id: "e2" }), AttemptVerdict.Unreachable, 1);
  t.ok(trust.isPartitionSuspected("dc-a"));
  t.notOk(trust.isPartitionSuspected("dc-b"));
  trust.recordOutcome(fixtures.entry({ id: "e3" }), AttemptVerdict.Failed, 1);
  t.notOk(
    trust.isPartitionSuspected("dc-a"),
    "any answer from the data centre clears the suspicion",
  );
});

tap.test(
  "the suspicion of a partition expires, so that the data centre is tried again",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    const trust = new servers.ServerTrust(clock);
    trust.recordOutcome(fixtures.entry({ id: "e1" }), AttemptVerdict.Unreachable, 1);
    trust.recordOutcome(fixtures.entry({ id: "e2" }), AttemptVerdict.Unreachable, 1);
    await clock.runForMs(constants.PARTITION_SUSPICION_MS);
    t.notOk(trust.isPartitionSuspected("dc-a"));
  },
);

tap.test("the records of servers that are not retained are removed", async (t) => {
  const trust = new servers.ServerTrust(new virtualClocks.VirtualClock());
  trust.recordOutcome(fixtures.entry(), AttemptVerdict.Failed, 5);
  trust.retain(new Set());
  t.equal(trust.failureRatio("e1"), 0);
});
