import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as servers from "../index.js";

const SERVER = fixtures.entry({ id: "s1" });

tap.test("the time of the fastest answers is found under calls that waited", async (t) => {
  const loads = new servers.ServerLoads(new virtualClocks.VirtualClock());
  for (let round = 0; round < 20; round += 1)
    for (const waitedMs of [180, 60, 120, 240]) loads.recordAnswer(SERVER, waitedMs);
  const fastMs = loads.fastMs("s1") ?? 0;
  t.ok(fastMs >= 60 && fastMs < 90, `${fastMs} ms`);
});

tap.test("a VM learns of a peer what the server's former start does not change", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [teller, learner] = [new servers.ServerLoads(clock), new servers.ServerLoads(clock)];
  teller.recordAnswer(SERVER, 60);
  for (const statement of teller.listStatements()) learner.recordPeerStatement(statement);
  t.equal(learner.fastMs("s1"), 60);
  learner.recordAnswer({ ...SERVER, bornAtWallMs: SERVER.bornAtWallMs + 1 }, 200);
  for (const statement of teller.listStatements()) learner.recordPeerStatement(statement);
  t.equal(learner.fastMs("s1"), 200, "the new start counts alone");
});

tap.test("a rejection keeps its VM away for a moment, and is told to the peers", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const [teller, learner] = [new servers.ServerLoads(clock), new servers.ServerLoads(clock)];
  teller.recordAnswer(SERVER, 60);
  teller.recordRejection(SERVER);
  t.equal(teller.shareAfterRejections("s1"), 0);
  for (const statement of teller.listStatements()) learner.recordPeerStatement(statement);
  const share = learner.shareAfterRejections("s1");
  t.ok(share >= 0.9 && share < 1, "peers withdraw a tenth, so that no stampede follows");
  await clock.runForMs(constants.REJECTION_RETENTION_MS);
  t.equal(learner.shareAfterRejections("s1"), 1);
  t.equal(teller.shareAfterRejections("s1"), 1);
});
