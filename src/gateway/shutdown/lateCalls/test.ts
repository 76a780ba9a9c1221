import * as http from "node:http";

import tap, { type Test } from "tap";

import * as backendServers from "../../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** The platform's grace period. */
const GRACE_MS = 8_000;

/** Calls of each route of which the VM learns how long they take. */
const KNOWN_CALLS_COUNT = 24;

/** What callers keep calling; the server runs each call for the time that its path names. */
const CALLS = [
  { path: "/lookup/50" },
  { path: "/lookup/400" },
  { path: "/file/50", method: "POST", body: "permit" },
  { path: "/file/1900", method: "POST", body: "permit" },
  { path: "/file/50", method: "POST", body: "permit", bodyTimeMs: 1_200 },
  { path: "/file/1900", method: "POST", body: "permit", bodyTimeMs: 3_000 },
  // Too few of these were answered to know how long they take.
  { path: "/status/1000" },
  { path: "/status/6000" },
] as const satisfies readonly gatewayFleets.CallerRequest[];

interface Outcome {
  readonly id: string;
  readonly path: string;
  readonly isLate: boolean;
  /** 0 if the connection was closed without a complete answer. */
  readonly status: number;
  readonly isClosing: boolean;
}

/** Calls on one kept connection at a time, until the VM accepts no more. */
class Caller {
  readonly outcomes: Outcome[] = [];
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1 });

  constructor(
    private readonly fleet: gatewayFleets.GatewayFleet,
    private readonly name: string,
    private readonly request: gatewayFleets.CallerRequest,
    private readonly isStopping: () => boolean,
  ) {}

  async callUntil(isOver: () => boolean): Promise<void> {
    for (let index = 0; !isOver(); index += 1) {
      const id = `${this.name}-${index}`;
      const isLate = this.isStopping();
      const { agent, fleet, request } = this;
      const answer = await fleet.call({ ...request, id, agent }).catch(() => null);
      const status = answer?.isComplete === true ? answer.status : 0;
      const isClosing = answer?.headers.connection === "close";
      this.outcomes.push({ id, path: request.path, isLate, status, isClosing });
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
    this.agent.destroy();
  }
}

async function startFleet(t: Test): Promise<gatewayFleets.GatewayFleet> {
  const fleet = await testFleets.startFleet(t);
  fleet.graceMs = GRACE_MS;
  fleet.configure();
  await testFleets.addReadyGateways(fleet, 1);
  return fleet;
}

/** Runs each call for the time that its path names. */
const runForNamedTime: backendServers.Behaviour = async (call, response, self) => {
  self.runs.push(call.id);
  await new Promise((resolve) => setTimeout(resolve, Number(call.target.split("/").at(-1))));
  if (!response.destroyed) backendServers.sendAnswer("x", call, response, self);
};

// Guards against calls that a stopping VM takes late, runs, and then answers with 504 or not at all.
tap.test("a stopping VM takes only calls that end before it closes", async (t) => {
  const fleet = await startFleet(t);
  const server = await fleet.addServer("s1", PLAIN_SERVICE, runForNamedTime, 200);
  await testFleets.waitUntilServersKnown(fleet, 1);
  const known = Array.from({ length: KNOWN_CALLS_COUNT }, (_, index) => [
    fleet.call({ path: "/lookup/400", id: `kl${index}` }),
    fleet.call({ path: "/file/1900", method: "POST", body: "x", id: `kf${index}` }),
  ]).flat();
  for (const { status } of await Promise.all(known)) t.equal(status, 200);

  let isStopping = false;
  let isOver = false;
  const callers = CALLS.flatMap((request, index) => [
    new Caller(fleet, `a${index}`, request, () => isStopping),
    new Caller(fleet, `b${index}`, request, () => isStopping),
  ]);
  const calling = callers.map((caller) => caller.callUntil(() => isOver));
  await testFleets.waitUntil(() => server.runs.some((id) => id.startsWith("a7")));
  isStopping = true;
  const stopped = fleet.gateways[0]?.stop();
  t.notOk(await fleet.isReady());
  await stopped;
  isOver = true;
  await fleet.gateways[0]?.[Symbol.asyncDispose]();
  await Promise.all(calling);

  const outcomes = callers.flatMap((caller) => caller.outcomes);
  const late = outcomes.filter(({ isLate }) => isLate);
  const ran = new Set(server.runs);
  const lost = outcomes.filter(({ id, status }) => status === 0 && ran.has(id));
  t.same(lost, [], "no call that was run ends without an answer");
  const early = outcomes.filter(({ isLate, status }) => !isLate && status !== 200);
  t.same(early, [], "calls in progress at the stop end");
  const failed = late.filter(({ status }) => ![0, 200, 503].includes(status));
  t.same(failed, [], "no call that was taken after the stop runs out of time");
  const untrue = outcomes.filter(({ id, status }) => status === 503 && ran.has(id));
  t.same(untrue, [], "what was refused has not run");
  t.ok(late.some(({ path, status }) => path === "/lookup/400" && status === 200));
  t.ok(late.every(({ status, isClosing }) => status === 0 || isClosing));
});

/** Interval of a rare call: fewer than are needed for an estimate in the whole grace period. */
const RARE_CALL_INTERVAL_MS = 400;

// Guards against calls of rarely used routes that are refused from the start of the stop on, or run late and fail.
for (const durationMs of [200, 1_900]) {
  tap.test(`rare calls of ${durationMs} ms are served early and refused unrun late`, async (t) => {
    const fleet = await startFleet(t);
    const server = await fleet.addServer("s1", PLAIN_SERVICE, runForNamedTime, 200);
    await testFleets.waitUntilServersKnown(fleet, 1);
    // Keeps the VM open until late.
    const long = fleet.call({ path: "/lookup/6500", id: "long" });
    await testFleets.waitUntil(() => server.runs.includes("long"));
    const stopped = fleet.gateways[0]?.stop();
    const stopping = { isOver: false };
    const calls: Promise<{ id: string; status: number }>[] = [];
    void stopped?.then(() => (stopping.isOver = true));
    for (let index = 0; !stopping.isOver; index += 1) {
      const id = `r${index}`;
      const answer = fleet.call({ path: `/status/${durationMs}`, id });
      calls.push(
        answer.then(
          ({ isComplete, status }) => ({ id, status: isComplete ? status : 0 }),
          () => ({ id, status: 0 }),
        ),
      );
      await new Promise((resolve) => setTimeout(resolve, RARE_CALL_INTERVAL_MS));
    }
    await fleet.gateways[0]?.[Symbol.asyncDispose]();
    t.equal((await long).status, 200);
    const outcomes = await Promise.all(calls);
    const ran = new Set(server.runs);
    t.equal(outcomes[0]?.status, 200, "the first one is served");
    const failed = outcomes.filter(({ id, status }) => ran.has(id) !== (status === 200));
    t.same(failed, [], "what was run has its answer, what was refused has not run");
    const statuses = outcomes.map(({ status }) => status);
    t.ok(statuses.includes(503), `what comes late is refused: ${statuses.join(" ")}`);
    t.notOk(statuses.includes(504));
  });
}

// Guards against streams that a stopping VM begins, or cuts off, although they cannot or could end.
tap.test("a stopping VM ends the streams that can end, and begins none", async (t) => {
  const fleet = await startFleet(t);
  const engine = await fleet.addServer("e1", ENGINE_SERVICE, async (call, response, self) => {
    const eventsCount = Number(call.target.split("/").at(-1));
    await backendServers.stream({ eventsCount, gapMs: 50 })(call, response, self);
  });
  await testFleets.waitUntilServersKnown(fleet, 1);
  const request = (id: string, eventsCount: number): Promise<gatewayFleets.CallerAnswer> =>
    fleet.call({ ...testFleets.DRAFT_REQUEST, path: `/draft/${eventsCount}`, id });
  const eventCounts = [10, 40, 80, 110];
  const running = eventCounts.map((count) => request(`r${count}`, count));
  await testFleets.waitUntil(() => engine.runs.length === eventCounts.length);
  const stopped = fleet.gateways[0]?.stop();
  const late = [];
  for (let index = 0; index < 10; index += 1) {
    late.push((await request(`late${index}`, 10)).status);
    await new Promise((resolve) => setTimeout(resolve, 200));
  }
  t.same(new Set(late), new Set([503]));
  for (const { isComplete } of await Promise.all(running)) t.ok(isComplete);
  await stopped;
  await fleet.gateways[0]?.[Symbol.asyncDispose]();
  t.notOk(
    engine.runs.some((id) => id.startsWith("late")),
    "what was refused has not run",
  );
});
