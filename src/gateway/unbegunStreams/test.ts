import * as http from "node:http";

import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE } = gatewayFleets;

const HALF_AN_EVENT = "id: 1\ndata: d";
const TIME_LIMIT_MS = 400;

/** Runs a generation, sends the head of its stream and the given bytes, and ends as told. */
function beginStream(
  part: string,
  end: (response: http.ServerResponse) => void,
): backendServers.Behaviour {
  return async (call, response, server) => {
    server.runs.push(call.id);
    const headers = { ...server.createAnswerHeaders(call), "Content-Type": "text/event-stream" };
    response.writeHead(200, headers);
    response.flushHeaders();
    if (part !== "") response.write(part);
    // Lets the bytes arrive, as a reset discards what is still on its way.
    await new Promise((resolve) => setTimeout(resolve, 20));
    end(response);
  };
}

const reset = (response: http.ServerResponse): void => void response.socket?.resetAndDestroy();
const closeInOrder = (response: http.ServerResponse): void => void response.socket?.end();
const end = (response: http.ServerResponse): void => void response.end();
const staySilent = (): void => undefined;

/** What an engine does after the head of a stream, and the status of the caller's answer. */
const BEHAVIOURS = {
  "sends nothing until the deadline": [beginStream("", staySilent), 504],
  "sends half an event until the deadline": [beginStream(HALF_AN_EVENT, staySilent), 504],
  "resets its connection": [beginStream("", reset), 502],
  "resets its connection inside the first event": [beginStream(HALF_AN_EVENT, reset), 502],
  "closes its connection": [beginStream("", closeInOrder), 502],
  "ends the stream without an event": [beginStream("", end), 502],
  "ends the stream inside the first event": [beginStream(HALF_AN_EVENT, end), 502],
} as const satisfies Record<string, readonly [backendServers.Behaviour, number]>;

// Guards against a caller's connection that is closed without an answer, although no byte of one was sent.
for (const [name, [behaviour, status]] of Object.entries(BEHAVIOURS)) {
  tap.test(`a caller is answered if the engine ${name} after the head of a stream`, async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const engine = await fleet.addServer("e1", ENGINE_SERVICE, behaviour);
    await testFleets.waitUntilServersKnown(fleet, 1);
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    t.teardown(() => agent.destroy());
    const request = { ...testFleets.DRAFT_REQUEST, path: "/draft/", agent };
    const answer = await fleet.call({ ...request, id: "d1", timeLeftMs: TIME_LIMIT_MS });
    t.match(answer, { status, body: "", isComplete: true });
    t.notMatch(answer.headers, { "x-engine-signature": /./ }, "the failure is the gateway's own");
    t.equal(answer.headers["retry-after"], undefined);
    t.same(engine.runs, ["d1"]);

    const sockets = Object.values(agent.freeSockets).flat();
    t.equal(sockets.length, 1, "the caller's connection stays open");
    engine.setBehaviour(backendServers.stream({ eventsCount: 2, gapMs: 1 }));
    const next = await fleet.call({ ...request, id: "d2" });
    t.match(next, { status: 200, isComplete: true });
    t.same(testFleets.parseEventIds(next.body), [1, 2]);
  });
}

// Guards against a refusal in place of a second run, where the route's streams may be resumed.
tap.test("a stream that may be resumed goes on elsewhere if no event of it has come", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("e1", ENGINE_SERVICE, beginStream("", reset));
  await testFleets.waitUntilServersKnown(fleet, 1);
  const failed = await fleet.call({ ...testFleets.DRAFT_REQUEST, path: "/answer/", id: "a1" });
  t.equal(failed.status, 502, "nowhere to go on");
  await fleet.addServer("e2", ENGINE_SERVICE, backendServers.stream({ eventsCount: 3, gapMs: 1 }));
  await testFleets.waitUntilServersKnown(fleet, 2);
  for (const id of ["a2", "a3", "a4"]) {
    const answer = await fleet.call({ ...testFleets.DRAFT_REQUEST, path: "/answer/", id });
    t.match(answer, { status: 200, isComplete: true });
    t.same(testFleets.parseEventIds(answer.body), [1, 2, 3]);
  }
});
