import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;
const { waitUntil } = testFleets;

const CALLS_COUNT = 30;

const STREAM = backendServers.stream({ eventsCount: 4, gapMs: 1 });

/** Makes lookups one after another; returns how many were served. */
async function makeLookups(fleet: gatewayFleets.GatewayFleet): Promise<number> {
  let servedCount = 0;
  for (let index = 0; index < CALLS_COUNT; index += 1) {
    const answer = await fleet.call({ path: "/lookup/", id: `lookup-${index}` });
    if (answer.status === 200) servedCount += 1;
  }
  return servedCount;
}

tap.test("a server that says in an answer that it leaves gets no further calls", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const answer = backendServers.answerCompletely("found");
  const leaving = await fleet.addServer("leaving", PLAIN_SERVICE, answer);
  await waitUntil(() => testFleets.isLookupServed(fleet));
  leaving.isLeaving = true;
  t.equal((await fleet.call({ path: "/lookup/" })).status, 200, "it serves what it has received");
  await fleet.addServer("staying", PLAIN_SERVICE, answer);
  await waitUntil(() => testFleets.isLookupServed(fleet));
  const countBefore = leaving.calls.length;
  t.equal(await makeLookups(fleet), CALLS_COUNT);
  t.equal(leaving.calls.length, countBefore);
});

tap.test("an engine that says in an answer that it leaves gets no new generations", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const leaving = await fleet.addServer("leaving", ENGINE_SERVICE, STREAM);
  await waitUntil(() => testFleets.isDraftServed(fleet));
  leaving.isLeaving = true;
  await testFleets.isDraftServed(fleet);
  await fleet.addServer("staying", ENGINE_SERVICE, STREAM);
  await waitUntil(() => testFleets.isDraftServed(fleet));
  const countBefore = leaving.calls.length;
  for (let index = 0; index < 10; index += 1) t.ok(await testFleets.isDraftServed(fleet));
  t.equal(leaving.calls.length, countBefore);
});
