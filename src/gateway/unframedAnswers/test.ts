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
  "before its first event": "",
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
}
