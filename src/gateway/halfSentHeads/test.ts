import * as http from "node:http";
import * as net from "node:net";

import tap, { type Test } from "tap";

import type * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

/** Above the limit of the configuration, and below that of the parser. */
const HEAD_BYTES = 18_000;

const HEADS_COUNT = 150;

const LIMITS = { max_body_bytes: 1_000_000, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 };

/** Connections that send the same bytes, and how many of them the other side has closed. */
interface OpenConnections {
  readonly closedCount: number;
}

function openConnections(t: Test, port: number, count: number, bytes: string): OpenConnections {
  const connections = { closedCount: 0 };
  for (let index = 0; index < count; index += 1) {
    const socket = net.connect(port, "127.0.0.1", () => socket.write(bytes));
    socket.on("error", () => undefined);
    socket.on("close", () => (connections.closedCount += 1));
    socket.resume();
    t.teardown(() => socket.destroy());
  }
  return connections;
}

/** The beginning of a request head, without its end. */
function createHalfHead(sizeBytes: number): string {
  const line = `X-More: ${"a".repeat(990)}\r\n`;
  return `GET / HTTP/1.1\r\nHost: a\r\n${line.repeat(sizeBytes / line.length)}`;
}

async function startFleet(
  t: Test,
  limits: Partial<Pick<gatewayFleets.GatewayFleet, "maxHeldBytes" | "maxSocketsCount">>,
): Promise<gatewayFleets.GatewayFleet> {
  const fleet = await testFleets.startFleet(t);
  Object.assign(fleet, limits);
  fleet.configure();
  await fleet.addGateway();
  await testFleets.waitUntil(() => fleet.isReady());
  return fleet;
}

async function readMetrics(fleet: gatewayFleets.GatewayFleet): Promise<string> {
  return (await fetch(`http://${fleet.operatorsAddress()}/metrics`)).text();
}

// Guards against a process that exceeds its memory because of request heads that never end.
tap.test("the largest of too many half-sent heads are closed, and others are served", async (t) => {
  const fleet = await startFleet(t, { maxHeldBytes: 4_000_000 });
  const small = openConnections(t, fleet.callersPort(), 5, "GET / HTTP/1.1\r\n");
  const large = openConnections(t, fleet.callersPort(), HEADS_COUNT, createHalfHead(HEAD_BYTES));
  const toPeers = openConnections(t, fleet.peersPort(), 60, createHalfHead(HEAD_BYTES / 2));
  const expectedCount = HEADS_COUNT - Math.floor(1_000_000 / HEAD_BYTES);
  await testFleets.waitUntil(() => large.closedCount >= expectedCount);
  t.equal(toPeers.closedCount < 60, true, "the smaller heads go last");
  t.equal(small.closedCount, 0);
  t.equal((await fleet.call({ path: "/nowhere" })).status, 404);
  const metrics = await readMetrics(fleet);
  const held = /held_bytes\{holder="request-heads"\} (\d+)/.exec(metrics)?.[1];
  t.ok(Number(held) > 0 && Number(held) <= 1_000_000, `${held} bytes of heads are held`);
  t.match(metrics, /refused_connections_total\{server="callers",reason="head-bytes"\} \d+/);
});

// Guards against readiness checks and peers that find no descriptor left.
tap.test("callers' connections beyond their share are closed at once", async (t) => {
  const fleet = await startFleet(t, { maxSocketsCount: 40 });
  const idle = openConnections(t, fleet.callersPort(), 50, "");
  await testFleets.waitUntil(() => idle.closedCount >= 50 - 0.55 * 40);
  t.equal(idle.closedCount, 28);
  t.ok(await fleet.isReady());
  t.match(await readMetrics(fleet), /refused_connections_total\{[^}]*"too-many"\} 28/);
  await t.rejects(fleet.call({ path: "/nowhere" }), "a refused caller learns so at once");
});

// Guards against taking the requests of a sound caller for heads that never end.
tap.test("a kept connection may carry more bytes than all heads may hold", async (t) => {
  const fleet = await startFleet(t, { maxHeldBytes: 400_000 });
  const socket = net.connect(fleet.callersPort(), "127.0.0.1");
  t.teardown(() => socket.destroy());
  let answersCount = 0;
  socket.on("data", (bytes) => (answersCount += bytes.toString().split("HTTP/1.1 404").length - 1));
  const padding = `X-More: ${"a".repeat(10_000)}`;
  for (let count = 1; count <= 30; count += 1) {
    socket.write(`GET /nowhere HTTP/1.1\r\nHost: a.example\r\nX-Api-Key: k\r\n${padding}\r\n\r\n`);
    await testFleets.waitUntil(() => answersCount === count);
  }
  await new Promise((resolve) => setTimeout(resolve, 200));
  t.notOk(socket.closed);
  t.equal(socket.destroyed, false);
});

// Guards against heads that take several times the memory that the configuration allows them.
tap.test("a head is read only a little beyond the configuration's limit", async (t) => {
  const fleet = await startFleet(t, {});
  const socket = net.connect(fleet.callersPort(), "127.0.0.1");
  t.teardown(() => socket.destroy());
  let answer = "";
  socket.on("data", (bytes) => (answer += bytes.toString()));
  socket.write(createHalfHead(24_000));
  await testFleets.waitUntil(() => answer !== "");
  t.match(answer, /^HTTP\/1\.1 431 /);
});

// Guards against refusing heads on kept connections by a limit that is no longer in force.
tap.test("a connection is not kept beyond a raise of the limit on heads", async (t) => {
  const fleet = await startFleet(t, {});
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(() => agent.destroy());
  const send = (headBytes: number): Promise<http.IncomingMessage> =>
    new Promise((resolve, reject) => {
      const headers = { Host: "a.example", "X-More": "a".repeat(headBytes) };
      const port = fleet.callersPort();
      const request = http.get({ port, agent, headers, path: "/nowhere" }, (answer) => {
        answer.resume().on("end", () => resolve(answer));
      });
      request.on("error", reject);
    });
  t.equal((await send(10)).statusCode, 404);
  fleet.configure({ limits: { ...LIMITS, max_header_bytes: 40_000 } });
  await testFleets.waitUntil(async () => (await send(10)).headers.connection === "close");
  t.equal((await send(30_000)).statusCode, 404);
});
