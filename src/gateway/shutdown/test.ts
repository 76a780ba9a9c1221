import * as net from "node:net";

import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { LogEvent } = diagnostics;
const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** Adds an engine with a single slot, and occupies it with a stream that outlasts the grace period. */
async function occupyEngine(
  t: Test,
  fleet: gatewayFleets.GatewayFleet,
): Promise<backendServers.BackendServer> {
  const endless = backendServers.stream({ eventsCount: 10_000, gapMs: 20 });
  const engine = await fleet.addServer("e1", ENGINE_SERVICE, endless, 1);
  await testFleets.waitUntilServersKnown(fleet, 1);
  const running = testFleets.requestDraft(fleet, "running").catch(() => null);
  t.teardown(() => running);
  await testFleets.waitUntil(() => engine.runs.length === 1);
  return engine;
}

// Guards against accepted generations that a stopping VM lets wait, and then cuts off without an answer.
tap.test("a generation that waits when its VM is told to stop is refused at once", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const engine = await occupyEngine(t, fleet);
  const waiting = testFleets.requestDraft(fleet, "waiting");
  await testFleets.waitUntil(() => fleet.gateways[0]?.activeCallsCount === 2);
  const startedAtMs = Date.now();
  const stopped = fleet.gateways[0]?.stop();
  const answer = await waiting;
  t.equal(answer.status, 503, "it has not run, and its caller can come back to another VM");
  t.ok(Number(answer.headers["retry-after"]) < 1, "at once");
  t.equal(answer.headers.connection, "close");
  t.ok(Date.now() - startedAtMs < 1_000, "it does not wait for the end of the grace period");
  t.notOk(engine.runs.includes("waiting"));
  await stopped;
  await fleet.gateways[0]?.[Symbol.asyncDispose]();
});

// Guards against connections that are closed without an answer at the end of the grace period.
tap.test(
  "a call that a server still runs when its VM closes gets an answer of the VM",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const server = await fleet.addServer("p1", PLAIN_SERVICE, backendServers.neverAnswer());
    await testFleets.waitUntilServersKnown(fleet, 1);
    const call = fleet.call({ path: "/file/", method: "POST", id: "f1", body: "permit" });
    await testFleets.waitUntil(() => server.runs.length === 1);
    await fleet.gateways[0]?.stop();
    await fleet.gateways[0]?.[Symbol.asyncDispose]();
    t.match(await call, { status: 504, isComplete: true }, "it promises nothing");
    const unfinished = fleet.log.lines.filter(({ event }) => event === LogEvent.CallUnfinished);
    t.match(unfinished, [{ fields: { requestId: "f1", route: "file", arrival: "before" } }]);
  },
);

// Guards against calls that lose the time in which their body arrived twice, and so run out of it.
tap.test("a call whose body arrives while its VM stops has the time until the end", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
  await testFleets.waitUntilServersKnown(fleet, 1);
  const file = { path: "/file/", method: "POST", body: "permit" };
  for (let index = 0; index < 30; index += 1)
    t.equal((await fleet.call({ ...file, id: `k${index}` })).status, 200);
  const call = fleet.call({ ...file, id: "slow", bodyTimeMs: 1_900 });
  await testFleets.waitUntil(() => fleet.gateways[0]?.activeCallsCount === 1);
  const stopped = fleet.gateways[0]?.stop();
  t.equal((await call).status, 200);
  await stopped;
  await fleet.gateways[0]?.[Symbol.asyncDispose]();
});

// Guards against callers that send a body in vain, as their connection is closed before its end.
tap.test("a call whose body cannot arrive before its VM stops is refused early", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const server = await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
  await testFleets.waitUntilServersKnown(fleet, 1);
  const file = { path: "/file/", method: "POST", body: "permit" };
  const call = fleet.call({ ...file, id: "slow", bodyTimeMs: 10_000 });
  await testFleets.waitUntil(() => fleet.gateways[0]?.activeCallsCount === 1);
  const stopped = fleet.gateways[0]?.stop();
  t.match(await call, { status: 503, headers: { connection: "close" } });
  t.equal(fleet.gateways[0]?.activeCallsCount, 0, "the VM does not wait for it");
  await stopped;
  t.same(server.runs, []);
  await fleet.gateways[0]?.[Symbol.asyncDispose]();
});

// Guards against idle connections that are reset, or closed long before their VM stops.
tap.test("a stopping VM closes idle connections in order, at its end", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const socket = net.connect(fleet.callersPort(), "127.0.0.1");
  const errors: Error[] = [];
  socket.on("error", (error) => errors.push(error));
  const ended = new Promise<void>((resolve) => socket.once("end", resolve));
  socket.write("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
  await new Promise((resolve) => socket.once("data", resolve));
  const stopped = fleet.gateways[0]?.stop().then(() => "stopped");
  t.notOk(await fleet.isReady());
  t.equal(await Promise.race([ended.then(() => "closed"), pauseForChecks()]), "open");
  await stopped;
  await fleet.gateways[0]?.[Symbol.asyncDispose]();
  await ended;
  t.same(errors, []);
});

/** Resolves after two health checks of the load balancer, less a margin. */
function pauseForChecks(): Promise<string> {
  return new Promise((resolve) => setTimeout(() => resolve("open"), 1_500));
}
