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
  await testFleets.waitUntilServersKnown(fleet, 2);
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
  await testFleets.waitUntilServersKnown(fleet, 2);
  const countBefore = leaving.calls.length;
  for (let index = 0; index < 10; index += 1) t.ok(await testFleets.isDraftServed(fleet));
  t.equal(leaving.calls.length, countBefore);
});

tap.test("a server that answers 503 with Retry-After gets nothing for so long", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const answer = backendServers.answerCompletely("found");
  const paused = await fleet.addServer("paused", PLAIN_SERVICE, answer);
  await waitUntil(() => testFleets.isLookupServed(fleet));
  await fleet.addServer("other", PLAIN_SERVICE, answer);
  await testFleets.waitUntilServersKnown(fleet, 2);
  paused.setBehaviour(backendServers.refuse(60));
  await waitUntil(async () => {
    await fleet.call({ path: "/lookup/" });
    return paused.calls.at(-1)?.id === "attempt-1" && paused.runs.length < paused.calls.length;
  });
  const countBefore = paused.calls.length;
  t.equal(await makeLookups(fleet), CALLS_COUNT);
  t.equal(paused.calls.length, countBefore);
});

tap.test("a call that all servers want later is refused at once with that time", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const answer = backendServers.answerCompletely("found");
  const paused = await fleet.addServer("paused", PLAIN_SERVICE, answer);
  await waitUntil(() => testFleets.isLookupServed(fleet));
  paused.setBehaviour(backendServers.refuse(8));
  t.equal((await fleet.call({ path: "/file/", method: "POST", id: "file-1" })).status, 503);
  const countBefore = paused.calls.length;
  const refused = await fleet.call({ path: "/file/", method: "POST", id: "file-2" });
  t.equal(refused.status, 503);
  t.ok(Number(refused.headers["retry-after"]) > 4, `after ${refused.headers["retry-after"] ?? ""}`);
  t.equal(paused.calls.length, countBefore);
});
