import * as net from "node:net";

import tap, { type Test } from "tap";

import * as names from "../../../platform/names/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { LogEvent } = diagnostics;

/** Time within which a refusal that is due has arrived on a busy computer. */
const SLACK_MS = 700;

/** Longest time for which the rest of a refused body is discarded, with that slack. */
const CLOSED_MS = 2_000 + SLACK_MS;

/** What a caller receives that sends a part of its body, and when, from the request on. */
interface Receipt {
  text: string;
  answeredMs: number;
  closedMs: number;
}

async function startFleet(
  t: Test,
  maxSocketsCount = 1_000,
): Promise<readonly [gatewayFleets.GatewayFleet, backendServers.BackendServer]> {
  const fleet = await testFleets.startFleet(t);
  Object.assign(fleet, { maxSocketsCount });
  fleet.configure();
  const answer = backendServers.answerCompletely("ok");
  const server = await fleet.addServer("p1", gatewayFleets.PLAIN_SERVICE, answer);
  await fleet.addGateway();
  await testFleets.waitUntil(() => fleet.isReady());
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  return [fleet, server];
}

/** Sends a head and a part of the body that it announces; resolves when the connection is closed. */
function sendPart(
  t: Test,
  port: number,
  headers: Record<string, string>,
  path = "/file/",
): Promise<Receipt> {
  return new Promise((resolve) => {
    const startedAtMs = performance.now();
    const receipt: Receipt = { text: "", answeredMs: Infinity, closedMs: Infinity };
    const socket = net.connect(port, "127.0.0.1");
    const finish = (): void => {
      receipt.closedMs = performance.now() - startedAtMs;
      socket.destroy();
      resolve(receipt);
    };
    const timer = setTimeout(() => resolve(receipt), 9_000);
    t.teardown(() => {
      clearTimeout(timer);
      socket.destroy();
    });
    socket.on("error", () => undefined);
    socket.once("close", finish);
    socket.on("data", (bytes: Buffer) => {
      receipt.answeredMs = Math.min(receipt.answeredMs, performance.now() - startedAtMs);
      receipt.text += bytes.toString();
    });
    const isChunked = headers["Transfer-Encoding"] !== undefined;
    const framing: Record<string, string> = isChunked ? {} : { "Content-Length": "10" };
    const all = { Host: "a.example", [names.HEADERS.apiKey]: "key-1", ...framing, ...headers };
    const lines = Object.entries(all).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`POST ${path} HTTP/1.1\r\n${lines.join("")}\r\n${isChunked ? "3\r\n" : ""}abc`);
  });
}

// Guards against callers that hold a connection for good with a body that never ends.
tap.test("a body that is late for its caller's deadline is refused at that time", async (t) => {
  const [fleet, server] = await startFleet(t);
  const { requestId, timeLeftMs } = names.HEADERS;
  for (const framing of [{}, { "Transfer-Encoding": "chunked" }]) {
    const id = "Transfer-Encoding" in framing ? "chunked" : "sized";
    const headers = { [requestId]: id, [timeLeftMs]: "1000", ...framing };
    const { text, answeredMs, closedMs } = await sendPart(t, fleet.callersPort(), headers);
    t.ok(answeredMs > 950 && answeredMs < 1_000 + SLACK_MS, `${id}: answered at ${answeredMs} ms`);
    t.match(text, /^HTTP\/1\.1 503 /, "it has not run");
    t.match(text, /connection: close/i);
    t.ok(closedMs < 1_000 + CLOSED_MS, `closed at ${closedMs} ms`);
    t.notOk(server.runs.includes(id), "nothing was sent to a server");
    const refused = fleet.log.lines.filter(
      ({ event, fields }) => event === LogEvent.RequestRefused && fields.requestId === id,
    );
    t.match(refused, [{ fields: { reason: "timed-out-not-run", status: 503, detail: "file" } }]);
  }
  t.equal(fleet.gateways[0]?.activeCallsCount, 0);
});

tap.test("a body that is late for its route's timeout is refused at that time", async (t) => {
  const [fleet, server] = await startFleet(t);
  const headers = { [names.HEADERS.requestId]: "late", [names.HEADERS.timeLeftMs]: "60000" };
  const { text, answeredMs } = await sendPart(t, fleet.callersPort(), headers, "/short/");
  t.ok(answeredMs > 150 && answeredMs < 200 + SLACK_MS, `answered at ${answeredMs} ms`);
  t.match(text, /^HTTP\/1\.1 503 /);
  t.notOk(server.runs.includes("late"));
});

// Guards against callers that find no connection left, as late bodies hold all of them.
tap.test("callers find connections after late bodies have held all of them", async (t) => {
  const [fleet] = await startFleet(t, 40);
  const headers = { [names.HEADERS.timeLeftMs]: "1000" };
  const late = Array.from({ length: 30 }, (_, index) =>
    sendPart(t, fleet.callersPort(), { ...headers, [names.HEADERS.requestId]: `late-${index}` }),
  );
  await Promise.all(late);
  const served = await fleet.call({ path: "/lookup/", id: "after" }).catch(() => null);
  t.equal(served?.status, 200);
});

tap.test("a slow body that arrives within its time is served", async (t) => {
  const [fleet, server] = await startFleet(t);
  const file = { path: "/file/", method: "POST", body: "permit" };
  const answer = await fleet.call({ ...file, id: "slow", bodyTimeMs: 1_500 });
  t.equal(answer.status, 200);
  t.ok(server.runs.includes("slow"));
});
