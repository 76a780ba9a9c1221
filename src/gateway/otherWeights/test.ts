import tap from "tap";

import * as names from "../../../platform/names/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { HEADERS } = names;
const { ENGINE_SERVICE } = gatewayFleets;

const REQUESTS_COUNT = 3;

/** Turns requests away that expect a version of weights, with or without its own id in the answer. */
function requireNoVersion(namesItself: boolean): backendServers.Behaviour {
  const serve = backendServers.stream({ eventsCount: 2, gapMs: 1 });
  return (call, response, server) => {
    if (call.headers[HEADERS.expectedVersion.toLowerCase()] === undefined)
      return serve(call, response, server);
    const own = namesItself ? { [HEADERS.serverId]: server.id } : {};
    const headers = { [HEADERS.requestId]: call.id, [HEADERS.notRun]: "1", ...own };
    response.writeHead(421, headers).end();
  };
}

// Guards against requests for weights that no engine has, each of which put all engines aside as replaced.
for (const namesItself of [true, false]) {
  const answer = `a 421 ${namesItself ? "with" : "without"} the engine's id`;
  tap.test(`${answer} for other weights does not put the engine aside`, async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    for (const id of ["e1", "e2"])
      await fleet.addServer(id, ENGINE_SERVICE, requireNoVersion(namesItself));
    await testFleets.waitUntilServersKnown(fleet, 2);
    const { headers } = testFleets.DRAFT_REQUEST;
    const expecting = { ...headers, [HEADERS.expectedVersion]: "7" };
    for (let index = 0; index < REQUESTS_COUNT; index += 1) {
      const request = { ...testFleets.DRAFT_REQUEST, path: "/draft/", headers: expecting };
      const refused = await fleet.call({ ...request, id: `v${index}` });
      t.equal(refused.status, 503, "no engine has these weights");
    }
    t.equal((await testFleets.requestDraft(fleet, "d1")).status, 200);
    const { ServerLeaving } = diagnostics.LogEvent;
    t.same(
      fleet.log.lines.filter(({ event }) => event === ServerLeaving),
      [],
    );
  });
}
