import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** Time after an answer with `Retry-After` from which on requests in the pause count, and how many may come. */
const NOTICE_MS = 500;
const ALLOWED_COUNT = 2;

const PAUSE_S = 2;

const DRAFTS_COUNT = 10;
const EVENTS_COUNT = 300;
const STREAM = backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 10 });

/** Requests a second that a server takes, and calls that wait for their turn. */
const RATE_PER_SECOND = 20;
const CALLS_COUNT = 18;
const REFUSAL_DELAY_MS = 60;

function countInPause(arrivalsAtMs: readonly number[], refusedAtMs: number): number {
  const untilMs = refusedAtMs + PAUSE_S * 1_000;
  return arrivalsAtMs.filter((atMs) => atMs > refusedAtMs + NOTICE_MS && atMs < untilMs).length;
}

// A backup's engine got all continuations at once, also in a pause that it had asked for.
tap.test("runs that lost their engine wait for the pause of their backup's engine", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const first = await fleet.addServer("e1", ENGINE_SERVICE, STREAM);
  const second = await fleet.addServer("e2", ENGINE_SERVICE, STREAM);
  await testFleets.waitUntilServersKnown(fleet, 2);
  const drafts = Array.from({ length: DRAFTS_COUNT }, (_, index) =>
    testFleets.requestDraft(fleet, `d${index}`),
  );
  await testFleets.waitUntil(() => first.runs.length + second.runs.length >= DRAFTS_COUNT);
  const continuedAtMs: number[] = [];
  let refusedAtMs = Infinity;
  second.setBehaviour((call, response, server) => {
    if (call.headers["kv-from"] !== undefined) {
      continuedAtMs.push(performance.now());
      return STREAM(call, response, server);
    }
    refusedAtMs = Math.min(refusedAtMs, performance.now());
    return backendServers.refuse(PAUSE_S)(call, response, server);
  });
  const extra: Promise<gatewayFleets.CallerAnswer>[] = [];
  await testFleets.waitUntil(() => {
    if (refusedAtMs < Infinity) return true;
    extra.push(testFleets.requestDraft(fleet, `extra${extra.length}`));
    return false;
  });
  await new Promise((resolve) => setTimeout(resolve, NOTICE_MS + 100));
  first.crash();
  const answers = await Promise.all(drafts);
  await Promise.all(extra);
  const inPauseCount = countInPause(continuedAtMs, refusedAtMs);
  t.ok(inPauseCount <= ALLOWED_COUNT, `${inPauseCount} of ${continuedAtMs.length} in the pause`);
  t.ok(continuedAtMs.length > ALLOWED_COUNT, `${continuedAtMs.length} runs continued`);
  const brokenIds = answers.flatMap(({ isComplete }, index) => (isComplete ? [] : [`d${index}`]));
  t.same(brokenIds, [], "each stream is complete");
});

// Calls that waited for their turn under a rate were sent at that time, whatever the server had said meanwhile.
tap.test("calls that wait for their turn at a server are not sent in its pause", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const found = backendServers.answerCompletely("found");
  const server = await fleet.addServer("limited", PLAIN_SERVICE, found);
  server.ratePerSecond = RATE_PER_SECOND;
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  const arrivalsAtMs: number[] = [];
  let refusedAtMs = Infinity;
  server.setBehaviour(async (call, response, self) => {
    arrivalsAtMs.push(performance.now());
    // All calls are waiting for their turn by then.
    await new Promise((resolve) => setTimeout(resolve, REFUSAL_DELAY_MS));
    refusedAtMs = Math.min(refusedAtMs, performance.now());
    return backendServers.refuse(PAUSE_S)(call, response, self);
  });
  const calls = Array.from({ length: CALLS_COUNT }, (_, index) =>
    fleet.call({ path: "/file/", id: `waiting-${index}` }),
  );
  await Promise.all(calls);
  const inPauseCount = countInPause(arrivalsAtMs, refusedAtMs);
  t.ok(inPauseCount <= ALLOWED_COUNT, `${inPauseCount} of ${arrivalsAtMs.length} in the pause`);
});
