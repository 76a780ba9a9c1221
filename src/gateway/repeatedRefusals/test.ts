import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as rawAnswers from "../../../standins/platform/rawAnswer/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

const ONCE_ONLY_REQUESTS = {
  file: { path: "/file/", method: "POST", body: "permit" },
  draft: { ...testFleets.DRAFT_REQUEST, path: "/draft/" },
} as const;

/** Runs each request, and answers it with the refusal of an earlier one. */
const REFUSAL_OF_ANOTHER = rawAnswers.answerRaw(() =>
  [
    "HTTP/1.1 503 Service Unavailable",
    "X-Attempt-Id: an-earlier-one",
    "X-Not-Executed: 1",
    "Content-Length: 0",
    "",
    "",
  ].join("\r\n"),
);

// Guards against callers that are told "not run, try again" of what a server has run, and against a second run of it.
tap.test("a refusal of an earlier request is no refusal of this one", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const plain = [0, 1].map((index) =>
    fleet.addServer(`p${index}`, PLAIN_SERVICE, REFUSAL_OF_ANOTHER),
  );
  const engines = [0, 1].map((index) =>
    fleet.addServer(`e${index}`, ENGINE_SERVICE, REFUSAL_OF_ANOTHER),
  );
  const all = await Promise.all([...plain, ...engines]);
  await testFleets.waitUntilServersKnown(fleet, all.length);
  for (const [kind, request] of Object.entries(ONCE_ONLY_REQUESTS)) {
    const answer = await fleet.call({ ...request, id: kind });
    t.equal(answer.status, 502, `${kind}: nothing is promised`);
    const runs = all.flatMap((server) => server.runs.filter((id) => id === kind));
    t.same(runs, [kind], `${kind} runs once`);
  }
});

tap.test(
  "a refusal without an id is believed, as servers refuse before they know it",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    await fleet.addServer("p0", PLAIN_SERVICE, (_call, response) => {
      response.writeHead(503, { "X-Not-Executed": "1" }).end();
    });
    await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("done"));
    await testFleets.waitUntilServersKnown(fleet, 2);
    for (let index = 0; index < 4; index += 1) {
      const answer = await fleet.call({ ...ONCE_ONLY_REQUESTS.file, id: `f${index}` });
      t.match(answer, { status: 200, body: "done" });
    }
  },
);
