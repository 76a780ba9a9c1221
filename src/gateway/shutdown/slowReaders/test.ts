import * as events from "node:events";
import * as net from "node:net";

import tap from "tap";

import * as backendServers from "../../../../standins/platform/backendServer/index.js";
import * as callerRequests from "../../../../standins/platform/callerRequest/index.js";
import * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as names from "../../../../platform/names/index.js";
import * as testFleets from "../../_lib/testFleet/index.js";

/** Together more than the system holds for a caller that reads nothing; each is sent at once. */
const ANSWER_BYTES = 40_000;

/** Few enough that a server reads all requests at once; it reads no more of a caller that reads nothing. */
const ANSWERS_COUNT = 150;

// Guards against answers that are cut off because a server counts a connection as idle that still sends one.
tap.test("a caller that reads slowly can read until its VM closes", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const answer = backendServers.answerCompletely("x".repeat(ANSWER_BYTES));
  const server = await fleet.addServer("s1", gatewayFleets.PLAIN_SERVICE, answer, ANSWERS_COUNT);
  await testFleets.waitUntilServersKnown(fleet, 1);
  const [gateway] = fleet.gateways;
  const caller = net.connect(fleet.callersPort(), "127.0.0.1").pause();
  t.teardown(() => caller.destroy());
  caller.on("error", () => undefined);
  await events.EventEmitter.once(caller, "connect");
  const { apiKey, requestId } = names.HEADERS;
  const head = [
    ...["POST /file/1 HTTP/1.1", `Host: ${callerRequests.HOST}`, "Content-Length: 0"],
    ...[`${apiKey}: ${callerRequests.API_KEY}`, `${requestId}: slow`],
  ];
  caller.write(`${head.join("\r\n")}\r\n\r\n`.repeat(ANSWERS_COUNT));
  await testFleets.waitUntil(() => server.runs.length >= ANSWERS_COUNT);
  const stopped = gateway?.stop();
  // Shortly before the VM closes.
  const isClosing = (): boolean =>
    fleet.log.lines.some(({ event }) => event === diagnostics.LogEvent.CallUnfinished);
  await testFleets.waitUntil(isClosing);
  let receivedBytes = 0;
  caller.on("data", (chunk: Buffer) => (receivedBytes += chunk.length));
  caller.resume();
  await events.EventEmitter.once(caller, "close");
  const answerBytes = server.runs.length * ANSWER_BYTES;
  t.ok(receivedBytes > answerBytes, `${receivedBytes} bytes of ${answerBytes}, and heads`);
  await stopped;
  await gateway?.[Symbol.asyncDispose]();
});
