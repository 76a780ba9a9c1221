import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;
const { Framing } = backendServers;

const WHOLE_STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/** Streams that were broken off although their connection ended in order. */
const BROKEN_STREAMS = {
  "inside an event": `${WHOLE_STREAM}id: 3\nda`,
  "after the id of an event": `${WHOLE_STREAM}id: 3\n`,
} as const;

/** Serves one draft with the given body, and returns the caller's answer. */
async function requestStream(
  t: Test,
  body: string,
  framing: backendServers.Framing,
): Promise<gatewayFleets.CallerAnswer> {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("e1", ENGINE_SERVICE, backendServers.answerFramed(body, framing));
  await testFleets.waitUntilServersKnown(fleet, 1);
  return testFleets.requestDraft(fleet, "d1");
}

tap.test(
  "an answer without a length or chunks is forwarded when its connection ends",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerFramed("found", Framing.None));
    await testFleets.waitUntilServersKnown(fleet, 1);
    const answer = await fleet.call({ path: "/lookup/" });
    t.match(answer, { status: 200, body: "found", isComplete: true });
  },
);

for (const framing of Object.values(Framing)) {
  tap.test(
    `a stream with framing ${framing} is complete when it ends after an event`,
    async (t) => {
      const answer = await requestStream(t, WHOLE_STREAM, framing);
      t.match(answer, { status: 200, body: WHOLE_STREAM, isComplete: true });
    },
  );

  for (const [place, body] of Object.entries(BROKEN_STREAMS)) {
    tap.test(`a stream with framing ${framing} that ends ${place} is broken off`, async (t) => {
      const answer = await requestStream(t, body, framing).catch(() => null);
      t.not(answer?.isComplete, true, "the caller sees an incomplete answer");
      t.ok(WHOLE_STREAM.startsWith(answer?.body ?? ""), "only whole events are forwarded");
    });
  }

  tap.test(`a stream with framing ${framing} that ends before its first event fails`, async (t) => {
    const answer = await requestStream(t, "", framing);
    t.match(answer, { status: 502, body: "", isComplete: true });
    t.notMatch(answer.headers, { "x-engine-signature": /./ });
  });
}

/** Sends the begin of an answer that only its connection ends, and ends the server's process a little later. */
function answerAndEnd(part: string): backendServers.Behaviour {
  return async (call, response, server) => {
    server.runs.push(call.id);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { ...server.createAnswerHeaders(call), Connection: "close" });
    response.write(part);
    await new Promise((resolve) => setTimeout(resolve, 50));
    server.crash(true);
  };
}

// Guards against answers that look complete because a process that ends closes its connections in order.
tap.test("a stream whose engine's process ends between two events is broken off", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("e1", ENGINE_SERVICE, answerAndEnd(WHOLE_STREAM));
  await testFleets.waitUntilServersKnown(fleet, 1);
  const answer = await testFleets.requestDraft(fleet, "d1");
  t.equal(answer.isComplete, false);
  t.equal(answer.body, WHOLE_STREAM, "its events are passed on all the same");
});

tap.test("an answer whose server's process ends is of unknown outcome", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("p1", PLAIN_SERVICE, answerAndEnd("par"));
  await testFleets.waitUntilServersKnown(fleet, 1);
  const answer = await fleet.call({ path: "/file/", method: "POST", id: "f1", body: "permit" });
  t.match(answer, { status: 502, body: "" });
});

tap.test("a stream that its engine ends is complete while the engine leaves", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const engine = await fleet.addServer("e1", ENGINE_SERVICE, async (call, response, server) => {
    server.runs.push(call.id);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, { ...server.createAnswerHeaders(call), Connection: "close" });
    response.write(WHOLE_STREAM);
    await new Promise((resolve) => setTimeout(resolve, 400));
    response.end();
  });
  await testFleets.waitUntilServersKnown(fleet, 1);
  const answer = testFleets.requestDraft(fleet, "d1");
  await testFleets.waitUntil(() => engine.runs.length === 1);
  fleet.register(engine, ENGINE_SERVICE, "draining");
  t.match(await answer, { status: 200, body: WHOLE_STREAM, isComplete: true });
});
