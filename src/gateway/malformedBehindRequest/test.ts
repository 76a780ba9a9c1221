import * as net from "node:net";

import tap, { type Test } from "tap";

import * as names from "../../../platform/names/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { HEADERS } = names;
const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

const EVENTS_COUNT = 8;
const NO_REQUEST = "\u0001\u0002 no request\r\n\r\n";

/** Returns the bytes of a request with the given framing and body. */
function createRequest(path: string, id: string, framedBody: string): string {
  const fields = {
    Host: gatewayFleets.HOST,
    [HEADERS.requestId]: id,
    [HEADERS.apiKey]: gatewayFleets.API_KEY,
    [HEADERS.timeLeftMs]: "5000",
    ...testFleets.DRAFT_REQUEST.headers,
  };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST ${path} HTTP/1.1\r\n${lines.join("")}${framedBody}`;
}

/** Sends parts one after the other with pauses of 100 ms, and returns all that is received. */
function exchange(port: number, parts: readonly string[]): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1");
    let received = "";
    socket.on("data", (chunk: Buffer) => (received += chunk.toString()));
    socket.on("error", reject);
    socket.on("close", () => resolve(received));
    for (const [index, part] of parts.entries()) setTimeout(() => socket.write(part), 100 * index);
  });
}

async function startFleet(t: Test): Promise<gatewayFleets.GatewayFleet> {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerLater("filed", 300));
  const stream = backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 50 });
  await fleet.addServer("e1", ENGINE_SERVICE, stream);
  await testFleets.waitUntilServersKnown(fleet, 2);
  return fleet;
}

const statusesOf = (received: string): readonly string[] =>
  [...received.matchAll(/HTTP\/1\.1 (\d{3})/g)].map((match) => match[1] ?? "");

// Guards against an answer to other bytes that a caller takes for the answer to its request, which runs.
tap.test("bytes that are no request are answered after the request in progress", async (t) => {
  const fleet = await startFleet(t);
  const request = createRequest("/file/", "f1", "Content-Length: 1\r\n\r\nx");
  const received = await exchange(fleet.callersPort(), [request, NO_REQUEST, NO_REQUEST]);
  t.same(statusesOf(received), ["200", "400"]);
  t.match(received, /\r\n\r\nfiledHTTP\/1\.1 400/);
});

tap.test("bytes that are no request do not come amid the events of a stream", async (t) => {
  const fleet = await startFleet(t);
  const request = createRequest("/draft/", "d1", "Content-Length: 1\r\n\r\nx");
  const received = await exchange(fleet.callersPort(), [request, NO_REQUEST]);
  t.same(statusesOf(received), ["200", "400"]);
  const [stream = ""] = received.split("HTTP/1.1 400");
  t.equal(testFleets.parseEventIds(stream.replaceAll("\r", "")).length, EVENTS_COUNT);
  t.match(stream, /0\r\n\r\n$/, "the stream has ended");
});

tap.test("a request whose own body cannot be parsed is answered at once", async (t) => {
  const fleet = await startFleet(t);
  const request = createRequest("/file/", "f1", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n");
  const received = await exchange(fleet.callersPort(), [request, "no size\r\n"]);
  t.same(statusesOf(received), ["400"]);
});

// Guards against work for a caller whose end is not noticed, as its connection is no longer read.
tap.test("a caller that leaves behind bytes that are no request is noticed", async (t) => {
  const fleet = await startFleet(t);
  const socket = net.connect(fleet.callersPort(), "127.0.0.1");
  socket.on("error", () => undefined);
  socket.write(createRequest("/draft/", "d1", "Content-Length: 1\r\n\r\nx"));
  await new Promise((resolve) => setTimeout(resolve, 100));
  socket.write(NO_REQUEST);
  await new Promise((resolve) => setTimeout(resolve, 50));
  socket.end();
  await new Promise((resolve) => setTimeout(resolve, 100));
  t.equal(fleet.gateways[0]?.activeCallsCount, 0);
});
