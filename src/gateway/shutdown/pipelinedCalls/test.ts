import * as net from "node:net";

import tap from "tap";

import * as backendServers from "../../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";
import * as names from "../../../../platform/names/index.js";
import * as testFleets from "../../_lib/testFleet/index.js";

const { API_KEY, HOST, PLAIN_SERVICE } = gatewayFleets;

function encodeRequest(id: string, path: string): string {
  const { apiKey, requestId } = names.HEADERS;
  const lines = [`GET ${path} HTTP/1.1`, `Host: ${HOST}`, `${apiKey}: ${API_KEY}`];
  return [...lines, `${requestId}: ${id}`, "", ""].join("\r\n");
}

/** Resolves with all that arrives on a connection until it ends. */
function readToEnd(socket: net.Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString("latin1");
    });
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(text));
  });
}

// Guards against requests that a server runs while the answer before theirs closes their connection.
tap.test("a stopping VM answers all requests that were sent on one connection", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const server = await fleet.addServer("p1", PLAIN_SERVICE, async (call, response, self) => {
    self.runs.push(call.id);
    await new Promise((resolve) => setTimeout(resolve, call.id === "first" ? 300 : 600));
    backendServers.sendAnswer(`body of ${call.id}`, call, response, self);
  });
  await testFleets.waitUntilServersKnown(fleet, 1);
  const socket = net.connect(fleet.callersPort(), "127.0.0.1");
  const received = readToEnd(socket);
  socket.write(encodeRequest("first", "/lookup/1") + encodeRequest("second", "/lookup/2"));
  await testFleets.waitUntil(() => server.runs.length === 2);
  await fleet.gateways[0]?.stop();
  await fleet.gateways[0]?.[Symbol.asyncDispose]();
  const text = await received;
  t.match(text, /body of first[^]*body of second/);
  t.equal(text.match(/connection: close/gi)?.length, 1, "the last answer closes the connection");
});

// Guards against requests that a server runs although the answer before theirs closes their connection.
tap.test("a stopping VM runs no request behind an answer that closes its connection", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const script = backendServers.stream({ eventsCount: 100, gapMs: 10 });
  const engine = await fleet.addServer("e1", gatewayFleets.ENGINE_SERVICE, script);
  const server = await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
  await testFleets.waitUntilServersKnown(fleet, 2);
  for (let index = 0; index < 30; index += 1) await fleet.call({ path: "/lookup/", id: "known" });
  const stream = testFleets.requestDraft(fleet, "running");
  await testFleets.waitUntil(() => engine.runs.length === 1);
  const stopped = fleet.gateways[0]?.stop();
  const socket = net.connect(fleet.callersPort(), "127.0.0.1");
  const received = readToEnd(socket);
  // The first one is refused at once, before the second one is read.
  socket.write(encodeRequest("refused", "/draft/") + encodeRequest("behind", "/lookup/2"));
  const text = await received;
  const isAnswered = text.split("HTTP/1.1 ").length === 3;
  t.equal(server.runs.includes("behind"), isAnswered, "it is run if it can be answered");
  t.ok((await stream).isComplete);
  await stopped;
  await fleet.gateways[0]?.[Symbol.asyncDispose]();
});

// Guards against calls that count as in progress for ever, so that a stopping VM waits for them until the end.
tap.test("a connection that breaks ends all calls that were sent on it", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const server = await fleet.addServer("p1", PLAIN_SERVICE, backendServers.neverAnswer());
  await testFleets.waitUntilServersKnown(fleet, 1);
  const socket = net.connect(fleet.callersPort(), "127.0.0.1");
  socket.write(encodeRequest("first", "/lookup/1") + encodeRequest("second", "/lookup/2"));
  await testFleets.waitUntil(() => server.runs.length >= 2);
  t.equal(fleet.gateways[0]?.activeCallsCount, 2);
  socket.destroy();
  await testFleets.waitUntil(() => fleet.gateways[0]?.activeCallsCount === 0);
});
