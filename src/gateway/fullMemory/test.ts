import * as http from "node:http";
import * as net from "node:net";

import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as names from "../../../platform/names/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

/** Byte budget in which four calls fit, or three calls and two bodies of 30 KB. */
const LIMIT_BYTES = 160 * 1024;

const CALLER_LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 262_144,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

async function startSmallFleet(
  t: Test,
): Promise<readonly [gatewayFleets.GatewayFleet, backendServers.BackendServer]> {
  const fleet = await testFleets.startFleet(t);
  fleet.maxHeldBytes = LIMIT_BYTES;
  fleet.configure({ limits: CALLER_LIMITS });
  const server = await fleet.addServer(
    "p1",
    gatewayFleets.PLAIN_SERVICE,
    backendServers.answerCompletely("ok"),
  );
  await fleet.addGateway();
  await testFleets.waitUntil(() => fleet.isReady());
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  return [fleet, server];
}

tap.test("a call for whose body there is no memory is refused and has not run", async (t) => {
  const [fleet, server] = await startSmallFleet(t);
  const body = "x".repeat(130 * 1024);
  const refused = await fleet.call({ path: "/file/", method: "POST", id: "large", body });
  t.equal(refused.status, 503);
  t.ok(Number(refused.headers["retry-after"]) >= 0, "it says when to come back");
  const small = await fleet.call({ path: "/file/", method: "POST", id: "small", body: "x" });
  t.equal(small.status, 200);
  t.notOk(server.runs.includes("large"));
  const refusals = fleet.log.lines.filter(({ fields }) => fields.reason === "no-memory");
  t.equal(refusals.length, 1);
});

tap.test("bodies without a length that exceed the memory together are refused", async (t) => {
  const [fleet, server] = await startSmallFleet(t);
  const statuses = await Promise.all(
    [1, 2, 3].map((index) => sendSlowly(fleet.callersPort(), `body-${index}`)),
  );
  t.ok(statuses.includes(503));
  t.ok(statuses.includes(200), "one of them has room");
  const served = statuses.flatMap((status, at) => (status === 200 ? [`body-${at + 1}`] : []));
  t.same(server.runs.filter((id) => id.startsWith("body")).toSorted(), served);
  t.ok(fleet.log.lines.some(({ fields }) => fields.holder === "caller-bodies"));
  t.equal((await fleet.call({ path: "/lookup/", id: "after" })).status, 200);
});

/** Sends a body of 30 KB in chunks; resolves with the status. */
function sendSlowly(port: number, id: string): Promise<number> {
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      host: "127.0.0.1",
      port,
      method: "POST",
      path: "/file/",
      agent: false,
      headers: {
        Host: "a.example",
        [names.HEADERS.requestId]: id,
        [names.HEADERS.timeLeftMs]: "20000",
        [names.HEADERS.apiKey]: "key-1",
        "Transfer-Encoding": "chunked",
      },
    });
    outgoing.on("error", reject);
    outgoing.on("response", (message) => {
      message.resume();
      resolve(message.statusCode ?? 0);
    });
    let sentCount = 0;
    const timer = setInterval(() => {
      sentCount += 1;
      if (sentCount <= 30) outgoing.write(Buffer.alloc(1_024));
      else {
        clearInterval(timer);
        outgoing.end();
      }
    }, 5);
  });
}

/** Sends a large body, and reads the answer only when all of it is sent. */
function sendBeforeReading(port: number, bodyBytes: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1");
    socket.on("error", reject);
    socket.write(
      "POST /file/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n" +
        `${names.HEADERS.requestId}: large\r\n${names.HEADERS.apiKey}: key-1\r\n` +
        `Content-Length: ${bodyBytes}\r\n\r\n`,
    );
    const block = Buffer.alloc(64 * 1024);
    let sentBytes = 0;
    const send = (): void => {
      if (sentBytes < bodyBytes) {
        sentBytes += block.length;
        socket.write(block, () => setTimeout(send, 1));
        return;
      }
      let answer = "";
      socket.on("data", (chunk: Buffer) => (answer += chunk.toString()));
      socket.once("close", () => resolve(answer));
    };
    send();
  });
}

tap.test("a refusal reaches a caller that sends its whole body first", async (t) => {
  const [fleet] = await startSmallFleet(t);
  const answer = await sendBeforeReading(fleet.callersPort(), 128 * 64 * 1024);
  t.match(answer, /^HTTP\/1\.1 413 /);
});

tap.test("a refused caller that never ends its body is cut off", async (t) => {
  const [fleet] = await startSmallFleet(t);
  const socket = net.connect(fleet.callersPort(), "127.0.0.1");
  socket.on("error", () => undefined);
  const closed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
  socket.write(
    "POST /file/ HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n" +
      `${names.HEADERS.requestId}: endless\r\n${names.HEADERS.apiKey}: key-1\r\n\r\n`,
  );
  const chunk = Buffer.from(`400\r\n${"x".repeat(1_024)}\r\n`);
  const timer = setInterval(() => socket.write(chunk), 1);
  let answer = "";
  socket.on("data", (bytes: Buffer) => (answer += bytes.toString()));
  await closed;
  clearInterval(timer);
  t.match(answer, /^HTTP\/1\.1 (413|503) /);
});

// Guards against heads of calls that wait, which the sum of bodies and answers does not show.
tap.test(
  "calls that wait are counted with their heads, and no more are taken than fit",
  async (t) => {
    const [fleet, server] = await startSmallFleet(t);
    server.setBehaviour(backendServers.neverAnswer());
    const agent = new http.Agent();
    t.teardown(() => agent.destroy());
    const calls = Array.from({ length: 12 }, (_, index) =>
      fleet.call({ path: "/file/", method: "POST", id: `waiting-${index}`, body: "x", agent }),
    );
    const isRefused = ({ fields }: (typeof fleet.log.lines)[number]): boolean =>
      fields.reason === "no-memory";
    await testFleets.waitUntil(() => fleet.log.lines.some(isRefused));
    await testFleets.waitUntil(
      () => fleet.log.lines.filter(isRefused).length + server.runs.length >= 12,
    );
    const waitingCount = server.runs.filter((id) => id.startsWith("waiting")).length;
    t.ok(waitingCount >= 1 && waitingCount <= 5, `${waitingCount} calls wait`);
    server.setBehaviour(backendServers.answerCompletely("ok"));
    agent.destroy();
    await Promise.allSettled(calls);
    await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  },
);
