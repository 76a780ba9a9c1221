import tap, { type Test } from "tap";

import type * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as rawAnswers from "../../../standins/platform/rawAnswer/index.js";
import * as spoiledHeads from "../_lib/spoiledHeads/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** Requests of each kind of route: one that may be repeated, one that may not, and a stream. */
const REQUESTS = {
  lookup: { path: "/lookup/" },
  file: { path: "/file/", method: "POST", body: "permit" },
  draft: { ...testFleets.DRAFT_REQUEST, path: "/draft/" },
} as const;

async function startFleetWith(
  t: Test,
  behaviour: backendServers.Behaviour,
): Promise<gatewayFleets.GatewayFleet> {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("p1", PLAIN_SERVICE, behaviour);
  await fleet.addServer("e1", ENGINE_SERVICE, behaviour);
  await testFleets.waitUntilServersKnown(fleet, 2);
  return fleet;
}

// Guards against the end of a gateway's process at an answer that cannot be written out again.
for (const [name, lines] of Object.entries(spoiledHeads.SPOILED_HEADS)) {
  tap.test(`an answer with ${name} is a failure of its request alone`, async (t) => {
    const fleet = await startFleetWith(
      t,
      rawAnswers.answerRaw(
        (call, server) => `${spoiledHeads.createHead(lines, call, server)}${spoiledHeads.BODY}`,
      ),
    );
    const answers = Object.entries(REQUESTS).map(async ([kind, request]) => {
      const answer = await fleet.call({ ...request, id: kind });
      t.equal(answer.status, 502, `${kind} may have run`);
    });
    await Promise.all(answers);
  });
}

// Guards against forwarding an answer as complete although the connection closed within its head.
tap.test("an answer that ends inside its head is a failure, wherever it ends", async (t) => {
  let cutAt = 0;
  let headBytes = Infinity;
  const ranIds = new Set<string>();
  const fleet = await startFleetWith(
    t,
    rawAnswers.answerRaw((call, server) => {
      ranIds.add(call.id);
      const head = spoiledHeads.createHead(["HTTP/1.1 200 OK"], call, server);
      headBytes = head.length;
      return head.slice(0, cutAt);
    }),
  );
  for (; cutAt < headBytes; cutAt += 1) {
    const answers = Object.entries(REQUESTS).map(async ([kind, request]) => {
      const id = `${kind}-${cutAt}`;
      const answer = await fleet.call({ ...request, id });
      // A server that has failed often gets no more of some kinds.
      const expected = ranIds.has(id) ? 502 : 503;
      if (answer.status !== expected) t.fail(`${id}: ${answer.status} instead of ${expected}`);
    });
    await Promise.all(answers);
  }
  t.ok(cutAt > 0, `${cutAt} places tried`);
});
