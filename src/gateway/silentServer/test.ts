import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

/** Longest silence of a sound server, of a second or so. */
const SILENCE_MS = 1_800;

const EVENTS_COUNT = 6;

/** Streams the first half of the events, falls silent, and goes on. */
const SILENT_STREAM: backendServers.Behaviour = async (call, response, server) => {
  server.runs.push(call.id);
  const type = { "Content-Type": "text/event-stream" };
  response.writeHead(200, { ...server.createAnswerHeaders(call), ...type });
  for (let id = 1; id <= EVENTS_COUNT; id += 1) {
    response.write(`id: ${id}\ndata: ${id}\n\n`);
    const isHalf = id === EVENTS_COUNT / 2;
    await new Promise((resolve) => setTimeout(resolve, isHalf ? SILENCE_MS : 5));
  }
  response.end();
};

tap.test("a stream whose engine falls silent for a while goes on, on that engine", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const service = gatewayFleets.ENGINE_SERVICE;
  const silent = await fleet.addServer("silent", service, SILENT_STREAM);
  const other = await fleet.addServer("other", service, backendServers.refuse());
  await testFleets.waitUntilServersKnown(fleet, 2);
  const answer = await testFleets.requestDraft(fleet, "draft");
  t.equal(answer.status, 200);
  t.ok(answer.isComplete);
  t.same(testFleets.parseEventIds(answer.body), [1, 2, 3, 4, 5, 6]);
  t.equal(silent.runs.length + other.runs.length, 1, "it ran once");
  const events = fleet.log.lines.map(({ event }) => event);
  const { ServerEnded, ServerLeaving, ServersUnreachable } = diagnostics.LogEvent;
  for (const event of [ServerEnded, ServerLeaving, ServersUnreachable])
    t.notOk(events.includes(event), `no ${event}`);
});

tap.test("once-only work at a server that falls silent runs once and is answered", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const servers = [];
  for (const id of ["s1", "s2"]) {
    const behaviour = backendServers.answerLater("filed", SILENCE_MS);
    servers.push(await fleet.addServer(id, gatewayFleets.PLAIN_SERVICE, behaviour));
  }
  await testFleets.waitUntilServersKnown(fleet, servers.length);
  const answer = await fleet.call({ path: "/file/", method: "POST", id: "filing", body: "x" });
  t.equal(answer.status, 200);
  t.equal(servers.flatMap(({ runs }) => runs).length, 1);
});
