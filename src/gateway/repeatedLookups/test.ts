import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { PLAIN_SERVICE } = gatewayFleets;

/** Fails the first runs of each call, counted over all servers, and serves the later ones. */
function createFailingFirst(failuresCount: number): backendServers.Behaviour {
  const runsCounts = new Map<string, number>();
  return (call, response, server) => {
    const runsCount = (runsCounts.get(call.id) ?? 0) + 1;
    runsCounts.set(call.id, runsCount);
    const isFailing = !call.id.startsWith("warm") && runsCount <= failuresCount;
    const behaviour = isFailing
      ? backendServers.answerCompletely("error", 500)
      : backendServers.answerCompletely("ok");
    return behaviour(call, response, server);
  };
}

tap.test("a call that fails several times in a row at sound servers", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const behaviour = createFailingFirst(4);
  const servers = await Promise.all(
    ["s1", "s2", "s3", "s4"].map((id) => fleet.addServer(id, PLAIN_SERVICE, behaviour)),
  );
  await testFleets.waitUntilServersKnown(fleet, servers.length);
  for (let index = 0; index < 40; index += 1)
    await fleet.call({ path: "/lookup/", id: `warm-${index}` });

  const lookup = await fleet.call({ path: "/lookup/", id: "lookup", timeLeftMs: 3_000 });
  t.equal(lookup.status, 200, "a lookup is served within its time");
  const ranAt = servers.filter(({ runs }) => runs.includes("lookup"));
  t.equal(ranAt.length, 2, "on as many servers as its route allows");

  const filing = { path: "/file/", method: "POST", id: "filing", body: "x", timeLeftMs: 3_000 };
  t.equal((await fleet.call(filing)).status, 500, "a once-only call gets the failure");
  t.equal(servers.flatMap(({ runs }) => runs).filter((id) => id === "filing").length, 1);
});
