import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;
const { LogEvent } = diagnostics;

const REQUESTS = {
  lookup: { path: "/lookup/" },
  file: { path: "/file/", method: "POST", body: "permit" },
  draft: { ...testFleets.DRAFT_REQUEST, path: "/draft/" },
} as const;

/** Events of a request before it is sent, at which the log fails in these tests. */
const FAILING_EVENTS: readonly diagnostics.LogEvent[] = [LogEvent.RequestPlaced];

// Guards against a rejected promise of one request that ends the process with all its other requests.
tap.test("an unexpected error ends its request with an answer, and no other", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("done"));
  const stream = backendServers.stream({ eventsCount: 40, gapMs: 20 });
  await fleet.addServer("e1", ENGINE_SERVICE, stream);
  await testFleets.waitUntilServersKnown(fleet, 2);
  const other = fleet.call({ ...REQUESTS.draft, id: "other" });
  await testFleets.waitUntil(() =>
    fleet.log.lines.some(({ event }) => FAILING_EVENTS.includes(event)),
  );

  const record = fleet.log.record.bind(fleet.log);
  fleet.log.record = (importance, event, fields) => {
    record(importance, event, fields);
    if (FAILING_EVENTS.includes(event)) throw new Error(`no ${event}`);
  };
  for (const [kind, request] of Object.entries(REQUESTS)) {
    const answer = await fleet.call({ ...request, id: kind });
    t.equal(answer.status, 502, `${kind} gets an answer that promises nothing`);
  }
  const reported = fleet.log.lines.filter(({ event }) => event === LogEvent.InternalError);
  t.match(
    reported.map(({ fields }) => fields.requestId),
    Object.keys(REQUESTS),
    "the error of each request is logged",
  );
  fleet.log.record = record;
  t.match(await other, { status: 200, isComplete: true }, "a stream in progress goes on");
  t.match(await fleet.call({ ...REQUESTS.file, id: "later" }), { status: 200, body: "done" });
});
