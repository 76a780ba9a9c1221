import tap from "tap";

import * as backendServers from "../../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../../_lib/testFleet/index.js";

const { ENGINE_SERVICE } = gatewayFleets;

tap.test("a stream is forwarded completely and in order", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const script = backendServers.stream({ eventsCount: 12, gapMs: 2 });
  await fleet.addServer("e1", ENGINE_SERVICE, script);
  await testFleets.waitUntil(() => testFleets.isDraftServed(fleet));
  const answer = await testFleets.requestDraft(fleet, "d1");
  t.ok(answer.isComplete);
  t.same(
    testFleets.parseEventIds(answer.body),
    Array.from({ length: 12 }, (_, index) => index + 1),
  );
});

tap.test(
  "a stream whose engine fails continues from its backup, with each event once",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const failing = backendServers.stream({ eventsCount: 20, gapMs: 5, resetAfter: 8 });
    const first = await fleet.addServer("e1", ENGINE_SERVICE, failing);
    const second = await fleet.addServer("e2", ENGINE_SERVICE, failing);
    await testFleets.waitUntilServersKnown(fleet, 2);
    for (const server of [first, second]) {
      server.setBehaviour((call, response, self) => {
        const isContinuation = call.headers["kv-from"] !== undefined;
        const resetAfter = isContinuation ? undefined : 8;
        const script = {
          eventsCount: 20,
          gapMs: 5,
          ...(resetAfter === undefined ? {} : { resetAfter }),
        };
        return backendServers.stream(script)(call, response, self);
      });
    }
    const answer = await testFleets.requestDraft(fleet, "d1");
    t.ok(answer.isComplete);
    t.same(
      testFleets.parseEventIds(answer.body),
      Array.from({ length: 20 }, (_, index) => index + 1),
    );
    const continued = [...first.calls, ...second.calls].find(
      (call) => call.id === "d1" && call.headers["kv-from"] !== undefined,
    );
    t.equal(continued?.headers["last-event-id"], "8");
  },
);

tap.test("a run whose engine leaves continues from its backup, with each event once", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const script = backendServers.stream({ eventsCount: 60, gapMs: 10 });
  const first = await fleet.addServer("e1", ENGINE_SERVICE, script);
  const second = await fleet.addServer("e2", ENGINE_SERVICE, script);
  await testFleets.waitUntilServersKnown(fleet, 2);
  const answer = testFleets.requestDraft(fleet, "d1");
  await testFleets.waitUntil(() => [...first.runs, ...second.runs].includes("d1"));
  const leaving = first.runs.includes("d1") ? first : second;
  const other = leaving === first ? second : first;
  fleet.register(leaving, ENGINE_SERVICE, "draining");
  const whole = await answer;
  t.ok(other.runs.includes("d1"), "the run continued on the backup's engine");
  t.ok(whole.isComplete);
  t.same(
    testFleets.parseEventIds(whole.body),
    Array.from({ length: 60 }, (_, index) => index + 1),
  );
});

tap.test("a run whose backup is missing stays on the leaving engine", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const script = backendServers.stream({ eventsCount: 60, gapMs: 10 });
  const refuseContinuation: backendServers.Behaviour = (call, response, self) => {
    const isContinuation = call.headers["kv-from"] !== undefined;
    return isContinuation
      ? backendServers.refuse()(call, response, self)
      : script(call, response, self);
  };
  const first = await fleet.addServer("e1", ENGINE_SERVICE, refuseContinuation);
  const second = await fleet.addServer("e2", ENGINE_SERVICE, refuseContinuation);
  await testFleets.waitUntilServersKnown(fleet, 2);
  const answer = testFleets.requestDraft(fleet, "d1");
  const isRunning = (): boolean => [...first.runs, ...second.runs].includes("d1");
  await testFleets.waitUntil(isRunning);
  const leaving = first.runs.includes("d1") ? first : second;
  const other = leaving === first ? second : first;
  fleet.register(leaving, ENGINE_SERVICE, "draining");
  const whole = await answer;
  t.ok(
    other.calls.some((call) => call.id === "d1"),
    "the backup's engine was called",
  );
  t.ok(whole.isComplete);
  t.same(
    testFleets.parseEventIds(whole.body),
    Array.from({ length: 60 }, (_, index) => index + 1),
  );
});

tap.test(
  "the caller detects that a stream is truncated when its engine fails without a backup",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const failing = backendServers.stream({ eventsCount: 20, gapMs: 2, resetAfter: 5 });
    const server = await fleet.addServer("e1", ENGINE_SERVICE, failing);
    await testFleets.waitUntil(() => testFleets.requestDraftAndCheckCalled(fleet, server));
    const answer = await testFleets.requestDraft(fleet, "d1");
    t.equal(answer.status, 200);
    t.notOk(answer.isComplete);
    t.same(testFleets.parseEventIds(answer.body), [1, 2, 3, 4, 5]);
  },
);

tap.test("the engine's connection is closed when the caller disconnects", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const short = backendServers.stream({ eventsCount: 1, gapMs: 1 });
  const server = await fleet.addServer("e1", ENGINE_SERVICE, short);
  await testFleets.waitUntil(() => testFleets.isDraftServed(fleet));
  let isClosed = false;
  server.setBehaviour((call, response, self) => {
    response.once("close", () => {
      isClosed = true;
    });
    return backendServers.stream({ eventsCount: 10_000, gapMs: 5 })(call, response, self);
  });
  const controller = new AbortController();
  const { signal } = controller;
  const call = fleet
    .call({ ...testFleets.DRAFT_REQUEST, path: "/draft/", id: "d1", signal })
    .catch(() => null);
  await testFleets.waitUntil(() => server.runs.includes("d1"));
  controller.abort();
  await call;
  await testFleets.waitUntil(() => isClosed);
  t.pass("the engine detected the closed connection");
});

tap.test("a call near the end of the grace period is refused instead of interrupted", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const long = backendServers.stream({ eventsCount: 200, gapMs: 50 });
  const engine = await fleet.addServer("e1", ENGINE_SERVICE, long);
  let workMs = 0;
  await fleet.addServer("s1", gatewayFleets.PLAIN_SERVICE, async (call, response, self) => {
    await new Promise((resolve) => setTimeout(resolve, workMs));
    response.writeHead(200, self.createAnswerHeaders(call)).end("x");
  });
  await testFleets.waitUntilServersKnown(fleet, 2);
  // A stopping VM refuses all calls of a route unless it knows how long they take.
  for (let index = 0; index < 30; index += 1)
    t.equal((await fleet.call({ path: "/lookup/", id: `k${index}` })).status, 200);
  workMs = 1_500;
  const interrupted = testFleets.requestDraft(fleet, "d1");
  await testFleets.waitUntil(() => engine.runs.includes("d1"));
  const stopped = fleet.gateways[0]?.stop();
  const statuses: number[] = [];
  const calls: Promise<unknown>[] = [];
  for (let index = 0; index < 16; index += 1) {
    const call = fleet.call({ path: "/lookup/", id: `l${index}` });
    calls.push(call.then(({ status }) => statuses.push(status)).catch(() => statuses.push(0)));
    await new Promise((resolve) => setTimeout(resolve, 200));
  }
  await stopped;
  await Promise.all(calls);
  t.notOk((await interrupted).isComplete, "the stream did not end within the grace period");
  t.equal(statuses.length, 16);
  t.notOk(statuses.includes(0), "no call ends without an answer");
  t.ok(statuses.includes(503) && statuses.includes(200));
});

tap.test(
  "a stopping VM is not ready, finishes its calls and refuses new generations",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const script = backendServers.stream({ eventsCount: 40, gapMs: 10 });
    const server = await fleet.addServer("e1", ENGINE_SERVICE, script);
    await testFleets.waitUntil(() => testFleets.isDraftServed(fleet));
    const answer = testFleets.requestDraft(fleet, "d1");
    await testFleets.waitUntil(() => server.runs.includes("d1"));
    const stopped = fleet.gateways[0]?.stop();
    t.notOk(await fleet.isReady());
    t.ok((await answer).isComplete);
    const late = await testFleets.requestDraft(fleet, "d2");
    t.equal(late.status, 503, "a generation that may exceed the grace period is refused");
    await stopped;
  },
);
