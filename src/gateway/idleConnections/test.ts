import * as diagnosticsChannel from "node:diagnostics_channel";
import type * as http from "node:http";
import * as net from "node:net";
import * as v8 from "node:v8";
import * as vm from "node:vm";

import tap from "tap";

import * as names from "../../../platform/names/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { HEADERS } = names;
const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

const CONNECTIONS_COUNT = 40;

/** Bytes of a request's head, below the limit of the configuration. */
const HEAD_BYTES = 15_000;

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

/** Returns a request head of about `HEAD_BYTES`, split into the given number of header lines. */
function createHead(path: string, id: string, linesCount: number): string {
  const valueLength = Math.max(1, Math.floor(HEAD_BYTES / linesCount) - 9);
  const lines = Array.from({ length: linesCount }, (_, line) => {
    return `L${line}: ${"v".repeat(valueLength)}\r\n`.slice(0, HEAD_BYTES);
  });
  const fields = {
    Host: gatewayFleets.HOST,
    [HEADERS.requestId]: id,
    [HEADERS.apiKey]: gatewayFleets.API_KEY,
    [HEADERS.timeLeftMs]: "20000",
    ...testFleets.DRAFT_REQUEST.headers,
    "Content-Length": "1",
  };
  const fieldLines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  return `POST ${path} HTTP/1.1\r\n${fieldLines.join("")}${lines.join("")}\r\n`;
}

/** Sends a request on a new connection; resolves with the connection when the answer has ended. */
function callAndStay(port: number, head: string): Promise<net.Socket> {
  return new Promise((resolve, reject) => {
    const socket = net.connect(port, "127.0.0.1", () => socket.write(`${head}x`));
    let answer = "";
    socket.once("error", reject);
    socket.on("data", (chunk: Buffer) => {
      answer += chunk.toString();
      if (answer.endsWith("ok") || answer.endsWith("0\r\n\r\n")) resolve(socket);
    });
  });
}

// Guards against requests that are kept for as long as their connection is open, counted by nobody.
for (const path of ["/lookup/", "/file/", "/draft/"]) {
  for (const linesCount of [1, 200, 1_400]) {
    tap.test(`no request to ${path} with ${linesCount} lines outlives its answer`, async (t) => {
      const fleet = await testFleets.startReadyFleet(t);
      await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("ok"));
      const stream = backendServers.stream({ eventsCount: 2, gapMs: 1 });
      await fleet.addServer("e1", ENGINE_SERVICE, stream, 100);
      await testFleets.waitUntilServersKnown(fleet, 2);
      const port = fleet.callersPort();
      const requests: WeakRef<http.IncomingMessage>[] = [];
      const onRequest = (message: unknown): void => {
        const { request } = message as { request: http.IncomingMessage };
        if (request.socket.localPort === port) requests.push(new WeakRef(request));
      };
      diagnosticsChannel.subscribe("http.server.request.start", onRequest);
      t.teardown(() => diagnosticsChannel.unsubscribe("http.server.request.start", onRequest));
      const sockets = await Promise.all(
        Array.from({ length: CONNECTIONS_COUNT }, (_, index) =>
          callAndStay(port, createHead(path, `c${index}`, linesCount)),
        ),
      );
      t.teardown(() => sockets.forEach((socket) => socket.destroy()));
      await new Promise((resolve) => setTimeout(resolve, 200));
      collectGarbage();
      t.equal(requests.length, CONNECTIONS_COUNT);
      t.equal(sockets.filter(({ destroyed }) => destroyed).length, 0, "connections are open");
      const keptCount = requests.filter((request) => request.deref() !== undefined).length;
      t.equal(keptCount, 0, "requests in memory");
    });
  }
}
