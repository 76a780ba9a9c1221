import * as fastCheck from "fast-check";
import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

// A caller whose connection broke asks another VM for the rest of its stream. If the VM does not pass the last
// event id on, the stream begins anew, and the caller gets events twice.

const { ENGINE_SERVICE } = gatewayFleets;

const EVENTS_COUNT = 12;

/** More than all retries of a test, as each stream is one that breaks. */
const RETRY_SLACK_COUNT = 1_000;

interface Fleet {
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly engines: readonly backendServers.BackendServer[];
}

/** Starts two gateways and two engines that stream twelve events. */
async function startFleet(t: Test): Promise<Fleet> {
  const fleet = await testFleets.startFleet(t);
  fleet.retrySlackCount = RETRY_SLACK_COUNT;
  fleet.configure();
  await testFleets.addReadyGateways(fleet, 2);
  const script = backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 2 });
  const engines = [
    await fleet.addServer("e1", ENGINE_SERVICE, script),
    await fleet.addServer("e2", ENGINE_SERVICE, script),
  ];
  await testFleets.waitUntilServersKnown(fleet, 4);
  await testFleets.waitUntil(() => testFleets.isDraftServed(fleet));
  return { fleet, engines };
}

interface StreamRequest {
  readonly id: string;
  readonly vm?: number;
  readonly path?: string;
  readonly lastEventId?: string | number;
  readonly stopAfterEventsCount?: number;
}

/** Requests a stream, by default on the route whose streams may be resumed. */
function request(
  { fleet }: Fleet,
  { id, vm = 0, path = "/answer/", lastEventId, stopAfterEventsCount = Infinity }: StreamRequest,
): Promise<gatewayFleets.CallerAnswer> {
  const { headers, ...draft } = testFleets.DRAFT_REQUEST;
  const resume = lastEventId === undefined ? {} : { "Last-Event-Id": String(lastEventId) };
  const options = { ...draft, headers: { ...headers, ...resume }, path, id, stopAfterEventsCount };
  return fleet.call(options, vm);
}

/** Ids of the events after one, up to the last one. */
function idsAfter(lastEventId: number): readonly number[] {
  return Array.from({ length: EVENTS_COUNT - lastEventId }, (_, index) => lastEventId + index + 1);
}

/** Ids of the whole events of an answer, which may be broken off within an event. */
function wholeIds({ body }: gatewayFleets.CallerAnswer): readonly number[] {
  return testFleets.parseEventIds(body.slice(0, body.lastIndexOf("\n\n") + 2));
}

/** Ids of the calls at the engines that concern a request, in order of arrival. */
function callsOf({ engines }: Fleet, id: string): readonly backendServers.ReceivedCall[] {
  return engines.flatMap(({ calls }) => calls).filter((call) => call.id === id);
}

for (const vm of [0, 1]) {
  const place = vm === 0 ? "the same VM" : "another VM";
  tap.test(`a caller that resumes its stream at ${place} gets each event once`, async (t) => {
    const fleet = await startFleet(t);
    for (let count = 1; count < EVENTS_COUNT; count += 1) {
      const first = await request(fleet, { id: `first-${count}`, stopAfterEventsCount: count });
      const received = wholeIds(first);
      const lastEventId = received.at(-1) ?? 0;
      const rest = await request(fleet, { id: `rest-${count}`, vm, lastEventId });
      t.ok(rest.isComplete);
      t.same([...received, ...wholeIds(rest)], idsAfter(0), `after ${count} events`);
      const [call] = callsOf(fleet, `rest-${count}`);
      t.equal(call?.headers["last-event-id"], String(lastEventId));
      t.equal(call?.headers["kv-from"], undefined);
    }
  });
}

const EVENT_BYTES = backendServers.eventBytesOf(EVENTS_COUNT);

/** Bytes of the first events of a stream. */
function bytesOfEvents(eventsCount: number): number {
  return EVENT_BYTES.slice(0, eventsCount).reduce((sum, { length }) => sum + length, 0);
}

/** Lets runs of one request break at a byte of their stream, and all other runs succeed. */
function breakFirstRun({ engines }: Fleet, id: string, cutAtByte: number): void {
  let runsCount = 0;
  for (const engine of engines) {
    engine.setBehaviour((call, response, self) => {
      const isFirst = call.id === id && runsCount === 0;
      if (call.id === id) runsCount += 1;
      const behaviour = isFirst
        ? backendServers.breakAtByte({ eventsCount: EVENTS_COUNT, cutAtByte })
        : backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 1 });
      // The engines keep no memory of a run that broke.
      if (call.headers["kv-from"] !== undefined)
        return backendServers.refuse()(call, response, self);
      return behaviour(call, response, self);
    });
  }
}

tap.test("a stream that breaks at any byte of an event is resumed elsewhere", async (t) => {
  const fleet = await startFleet(t);
  const start = bytesOfEvents(4);
  const length = EVENT_BYTES[4]?.length ?? 0;
  for (let offset = 0; offset <= length; offset += 1) {
    const id = `byte-${offset}`;
    breakFirstRun(fleet, id, start + offset);
    const answer = await request(fleet, { id });
    t.ok(answer.isComplete, `broken off ${offset} bytes into event 5`);
    t.same(wholeIds(answer), idsAfter(0));
  }
});

tap.test("a stream that breaks before its first or after its last event is resumed", async (t) => {
  const fleet = await startFleet(t);
  for (const cutAtByte of [0, bytesOfEvents(EVENTS_COUNT)]) {
    const id = `edge-${cutAtByte}`;
    breakFirstRun(fleet, id, cutAtByte);
    const answer = await request(fleet, { id });
    t.ok(answer.isComplete, `broken off after ${cutAtByte} bytes`);
    t.same(wholeIds(answer), idsAfter(0));
    t.match(answer.headers["x-engine-signature"], /^e[12]\./);
  }
});

tap.test("a stream of a route that may not be resumed runs once", async (t) => {
  const fleet = await startFleet(t);
  breakFirstRun(fleet, "once", bytesOfEvents(3));
  const answer = await request(fleet, { id: "once", path: "/draft/" });
  t.notOk(answer.isComplete);
  t.same(wholeIds(answer), [1, 2, 3]);
  const runs = fleet.engines.flatMap((engine) => engine.runs).filter((id) => id === "once");
  t.equal(runs.length, 1);
});

tap.test("a last event id that makes no sense is refused, and nothing is run", async (t) => {
  const fleet = await startFleet(t);
  const cases: readonly [string, string][] = [
    ["/answer/", "x"],
    ["/answer/", "-1"],
    ["/answer/", "1.5"],
    ["/answer/", "99999999999999999999"],
    ["/draft/", "3"],
  ];
  for (const [index, [path, lastEventId]] of cases.entries()) {
    const id = `odd-${index}`;
    const answer = await request(fleet, { id, path, lastEventId });
    t.equal(answer.status, 400, `${path} ${lastEventId}`);
    t.equal(callsOf(fleet, id).length, 0);
  }
  const fromStart = await request(fleet, { id: "zero", path: "/draft/", lastEventId: 0 });
  t.same(wholeIds(fromStart), idsAfter(0), "0 stands for the begin");
});

tap.test("a caller that has all events gets the end of the stream", async (t) => {
  const fleet = await startFleet(t);
  const answer = await request(fleet, { id: "end", lastEventId: EVENTS_COUNT });
  t.equal(answer.status, 200);
  t.ok(answer.isComplete);
  t.same(wholeIds(answer), []);
});

tap.test("a run that begins anew is not joined to what the caller has", async (t) => {
  const fleet = await startFleet(t);
  for (const engine of fleet.engines) {
    engine.setBehaviour((call, response, self) => {
      const anew = { ...call, headers: {} };
      return backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 1 })(anew, response, self);
    });
  }
  // The connection may break before the head of the answer has been sent.
  const answer = await request(fleet, { id: "anew", lastEventId: 5 }).catch(() => null);
  t.notOk(answer?.isComplete === true && answer.status === 200);
  t.same(answer === null ? [] : wholeIds(answer), []);
});

tap.test("a failure before the first event is repeated at another engine", async (t) => {
  const fleet = await startFleet(t);
  let failuresCount = 0;
  for (const engine of fleet.engines) {
    engine.setBehaviour((call, response, self) => {
      if (call.id === "fails" && failuresCount === 0) {
        failuresCount += 1;
        return backendServers.answerCompletely("broken", 500)(call, response, self);
      }
      return backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 1 })(call, response, self);
    });
  }
  const answer = await request(fleet, { id: "fails" });
  t.equal(answer.status, 200);
  t.same(wholeIds(answer), idsAfter(0));
});

tap.test("a request runs on no more engines than its route allows", async (t) => {
  const fleet = await startFleet(t);
  await fleet.fleet.addServer("e3", ENGINE_SERVICE, backendServers.answerCompletely("x", 500));
  for (const engine of fleet.engines)
    engine.setBehaviour(backendServers.answerCompletely("x", 500));
  const answer = await request(fleet, { id: "all-fail" });
  t.equal(answer.status, 500, "the last failure is the answer");
  t.equal(callsOf(fleet, "all-fail").length, 2);
});

tap.test("the log tells how a stream was resumed", async (t) => {
  const fleet = await startFleet(t);
  breakFirstRun(fleet, "told", bytesOfEvents(3));
  await request(fleet, { id: "told" });
  const line = fleet.fleet.log.lines.find(
    ({ event }) => event === diagnostics.LogEvent.StreamResumed,
  );
  t.match(line?.fields, { requestId: "told", lastEventId: 3, outcome: "open" });
});

tap.test("any history of breaks and resumes delivers each event once", async (t) => {
  const fleet = await startFleet(t);
  let sequence = 0;
  const step = fastCheck.record({
    vm: fastCheck.integer({ min: 0, max: 1 }),
    /** Where the engine breaks the stream; the caller's own break comes later or first. */
    cutAtByte: fastCheck.integer({ min: 0, max: bytesOfEvents(EVENTS_COUNT) }),
    stopAfterEventsCount: fastCheck.integer({ min: 1, max: EVENTS_COUNT }),
  });
  await fastCheck.assert(
    fastCheck.asyncProperty(fastCheck.array(step, { maxLength: 4 }), async (steps) => {
      const received: number[] = [];
      for (const { vm, cutAtByte, stopAfterEventsCount } of steps) {
        sequence += 1;
        const id = `history-${sequence}`;
        breakFirstRun(fleet, id, cutAtByte);
        const lastEventId = received.at(-1) ?? 0;
        const answer = await request(fleet, { id, vm, lastEventId, stopAfterEventsCount });
        received.push(...wholeIds(answer));
      }
      sequence += 1;
      const last = await request(fleet, {
        id: `history-${sequence}`,
        lastEventId: received.at(-1) ?? 0,
      });
      received.push(...wholeIds(last));
      return JSON.stringify(received) === JSON.stringify(idsAfter(0));
    }),
    { seed: 11, numRuns: 40 },
  );
  t.pass("40 histories");
});
