import tap from "tap";

import * as names from "../../../platform/names/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { HEADERS } = names;
const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** Statuses that promise that a request has not run and never will. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Routes whose requests may run only once; the streams of the last may be resumed elsewhere. */
const ONCE_ONLY_ROUTES = { file: PLAIN_SERVICE, draft: ENGINE_SERVICE, answer: ENGINE_SERVICE };

/** Headers of a server's answer that tell whether it ran the request, and whether it really did. */
const ANSWERS = {
  "with a receipt": { isSigned: true, isStated: false, hasRun: true },
  "without a receipt": { isSigned: false, isStated: false, hasRun: true },
  "with the statement": { isSigned: false, isStated: true, hasRun: false },
  "with a receipt and the statement": { isSigned: true, isStated: true, hasRun: false },
} as const;

type Answer = (typeof ANSWERS)[keyof typeof ANSWERS];

function answerWith(status: number, { isSigned, isStated, hasRun }: Answer) {
  const behaviour: backendServers.Behaviour = (call, response, server) => {
    if (hasRun) server.runs.push(call.id);
    const headers = { ...server.createAnswerHeaders(call), "Content-Length": 6 };
    response.writeHead(status, {
      ...(isSigned ? headers : { [HEADERS.requestId]: call.id, "Content-Length": 6 }),
      ...(isStated ? { [HEADERS.notRun]: "1" } : {}),
    });
    response.end("failed");
  };
  return behaviour;
}

// Guards against a server's status that tells the caller to send a request again, although the server has run it.
for (const status of [408, 421, 429, 500, 503]) {
  for (const [name, answer] of Object.entries(ANSWERS)) {
    // A 421 without a receipt is a rejection by itself.
    if (status === 421 && !(answer.isSigned && answer.hasRun)) continue;
    tap.test(
      `a caller is promised nothing by a ${status} ${name}, unless it is stated`,
      async (t) => {
        const fleet = await testFleets.startReadyFleet(t);
        const behaviour = answerWith(status, answer);
        const servers = [
          await fleet.addServer("p1", PLAIN_SERVICE, behaviour),
          await fleet.addServer("e1", ENGINE_SERVICE, behaviour),
        ];
        await testFleets.waitUntilServersKnown(fleet, servers.length);
        for (const route of Object.keys(ONCE_ONLY_ROUTES)) {
          const request = { ...testFleets.DRAFT_REQUEST, path: `/${route}/`, id: `${route}-1` };
          const { status: given, headers } = await fleet.call(request);
          const hasRun = servers.some(({ runs }) => runs.includes(request.id));
          t.equal(hasRun, answer.hasRun, `${route}: reached the server`);
          t.equal(hasRun && PROMISES.has(given), false, `${route}: answered ${given}`);
          if (answer.hasRun) {
            const isForwarded = given === status;
            t.equal(isForwarded, answer.isSigned && !PROMISES.has(status), `${route}: ${given}`);
            t.equal(isForwarded || given === 502, true, `${route}: ${given}`);
            t.equal("x-engine-signature" in headers, isForwarded, `${route}: receipt`);
            t.equal(headers["retry-after"], undefined, `${route}: time to come back`);
          } else if (status !== 500) {
            t.equal(given, 503, `${route}: may be sent again`);
          }
        }
        if (answer.hasRun && answer.isSigned) {
          const lookup = await fleet.call({ path: "/lookup/", id: "lookup-1" });
          t.match(
            lookup,
            { status, body: "failed" },
            "work that may be repeated gets the answer as it is",
          );
        }
      },
    );
  }
}
