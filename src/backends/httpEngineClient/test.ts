import tap from "tap";

import * as clocks from "../../_lib/clock/index.js";
import * as randoms from "../../_lib/random/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as defaultOptions from "../../../standins/engine/defaultOptions/index.js";
import * as engineServers from "../../../standins/engine/server/index.js";
import type * as engineTypes from "../../../standins/engine/types.js";
import * as faults from "../../../standins/faults/index.js";
import * as types from "../types.js";
import * as httpEngineClient from "./index.js";

interface TestSetup {
  readonly server: engineServers.EngineServer;
  readonly client: httpEngineClient.HttpEngineClient;
}

const LOADED = [{ model: "m", version: "1", adapters: [] }];

async function createTestSetup(
  t: Pick<typeof tap, "teardown">,
  overrides: Partial<engineTypes.EngineModelOptions> = {},
): Promise<TestSetup> {
  const clock = new clocks.SystemClock();
  const options = { ...defaultOptions.createDefaultEngineOptions("e", LOADED), ...overrides };
  const random = randoms.createRandom(1);
  const server = new engineServers.EngineServer({ name: "e" }, clock, random, options);
  await server.start();
  const client = new httpEngineClient.HttpEngineClient("e", server.url, clock);
  t.teardown(async () => {
    client[Symbol.dispose]();
    await server[Symbol.asyncDispose]();
  });
  return { server, client };
}

function requestOf(lengthTokens: number, prefix: readonly string[] = []): types.EngineRequest {
  return {
    requestId: "r/1",
    attempt: 1,
    model: "m",
    version: "1",
    adapter: null,
    prompt: `a park #tokens=${lengthTokens}`,
    prefixTokens: prefix,
    maxTokens: 5_000,
    priority: 0,
    seed: 7,
  };
}

async function collect(frames: AsyncIterable<types.EngineFrame>): Promise<types.EngineFrame> {
  const tokens: string[] = [];
  let offset: number | undefined;
  for await (const frame of frames) {
    offset ??= frame.offset;
    if (frame.offset !== offset + tokens.length) throw new Error(`gap at ${frame.offset}`);
    tokens.push(...frame.tokens);
    if (frame.finishReason !== null) return { offset, tokens, finishReason: frame.finishReason };
  }
  throw new Error("no finish reason");
}

async function catchStepError(work: Promise<unknown>): Promise<stepError.StepError> {
  try {
    await work;
  } catch (error) {
    if (error instanceof stepError.StepError) return error;
    throw error;
  }
  throw new Error("expected a failure");
}

async function readTokens(
  frames: AsyncIterable<types.EngineFrame>,
  minTokens: number,
): Promise<readonly string[]> {
  const tokens: string[] = [];
  for await (const frame of frames) {
    tokens.push(...frame.tokens);
    if (tokens.length >= minTokens) break;
  }
  return tokens;
}

const neverAborted = new AbortController().signal;

tap.test("a generation is received completely and in order", async (t) => {
  const { client } = await createTestSetup(t);
  const whole = await collect(client.start(requestOf(200), neverAborted));
  t.equal(whole.tokens.length, 200);
  t.equal(whole.finishReason, types.FinishReason.Stop);
});

tap.test("a generation with a delivered prefix continues after its last token", async (t) => {
  const { client } = await createTestSetup(t);
  const first = await collect(client.start(requestOf(50), neverAborted));
  const prefix = first.tokens.slice(0, 20);
  const request = { ...requestOf(50, prefix), attempt: 2 };
  const rest = await collect(client.start(request, neverAborted));
  t.equal(rest.offset, 20);
  t.same([...prefix, ...rest.tokens], first.tokens);
});

tap.test("a stream is resumed from an offset on a new connection", async (t) => {
  const { client } = await createTestSetup(t);
  const head = await readTokens(client.start(requestOf(300), neverAborted), 10);
  const rest = await collect(client.resume("r/1", 1, head.length, neverAborted));
  t.equal(rest.offset, head.length);
  t.equal(head.length + rest.tokens.length, 300);
});

tap.test("a slow reader does not delay the engine and receives all tokens", async (t) => {
  const { client, server } = await createTestSetup(t, { stepBaseMs: 0, stepPerSequenceMs: 0.05 });
  const iterator = client.start(requestOf(600), neverAborted)[Symbol.asyncIterator]();
  const first = await iterator.next();
  while (server.model.counters.finishedCount === 0) await new Promise((r) => setTimeout(r, 20));
  const rest = await collect({ [Symbol.asyncIterator]: () => iterator });
  t.equal((first.value as types.EngineFrame).tokens.length + rest.tokens.length, 600);
});

tap.test(
  "a stream broken by an engine's death after delivered tokens is reported as ran",
  async (t) => {
    const { client, server } = await createTestSetup(t);
    const frames = client.start(requestOf(2_000), neverAborted);
    await frames.next();
    await server.inject({ fault: faults.FaultKind.Kill });
    const error = await catchStepError(collect(frames));
    t.match(error, { code: "backend-failed", execution: "ran", peer: "e", step: "engine.start" });
  },
);

tap.test("a generation sent to a dead engine is reported as not run", async (t) => {
  const { client, server } = await createTestSetup(t);
  await server.inject({ fault: faults.FaultKind.Kill });
  const error = await catchStepError(collect(client.start(requestOf(5), neverAborted)));
  t.match(error, { code: "backend-failed", execution: "not-run" });
});

tap.test("a model that is not loaded is refused without being run", async (t) => {
  const { client } = await createTestSetup(t);
  const request = { ...requestOf(5), version: "9" };
  const error = await catchStepError(collect(client.start(request, neverAborted)));
  t.match(error, { code: "no-backend", execution: "not-run", message: /not loaded/ });
});

tap.test("a stream on a silent connection is resumed on a new one", async (t) => {
  const { client, server } = await createTestSetup(t);
  const abortController = new AbortController();
  const silent = client.start(requestOf(400), abortController.signal);
  const first = await silent.next();
  await server.inject({ fault: faults.FaultKind.Silence });
  const fromOffset = (first.value as types.EngineFrame).tokens.length;
  const rest = await collect(client.resume("r/1", 1, fromOffset, neverAborted));
  t.equal(fromOffset + rest.tokens.length, 400);
  abortController.abort();
  t.match(await catchStepError(collect(silent)), { execution: "ran" });
});

tap.test("a cancelled generation ends and frees its memory", async (t) => {
  const { client, server } = await createTestSetup(t, { loadReportLagMs: 0 });
  const frames = client.start(requestOf(4_000), neverAborted);
  await frames.next();
  t.ok((await client.cancel("r/1", 1)).isOk());
  const whole = await collect(frames);
  t.equal(whole.finishReason, types.FinishReason.Cancelled);
  t.equal(server.model.counters.cancelledCount, 1);
});

tap.test("the time of a load report is converted to the local clock", async (t) => {
  const { client } = await createTestSetup(t);
  const report = (await client.loadReport())._unsafeUnwrap();
  t.ok(Math.abs(report.takenAtMs - performance.now()) < 10_000);
  t.equal(report.capacityTokens, 20_000);
});

tap.test("an order with an outdated fencing number is refused", async (t) => {
  const { client } = await createTestSetup(t);
  const order = { kind: types.OrderKind.SetRole, role: "prefill" };
  t.ok((await client.order({ ...order, fencingNumber: 5 })).isOk());
  const refused = await client.order({ ...order, fencingNumber: 4 });
  t.match(refused._unsafeUnwrapErr(), { code: "conflict", execution: "not-run" });
});

tap.test("cache events after a given sequence number are returned", async (t) => {
  const { client } = await createTestSetup(t, { cacheEventLagMs: 0, cacheEventLossRatio: 0 });
  const prompt = `${"w ".repeat(64)}#tokens=2`;
  await collect(client.start({ ...requestOf(2), prompt }, neverAborted));
  const events = (await client.cacheEvents(0))._unsafeUnwrap();
  t.equal(events[0]?.kind, "stored");
  t.same((await client.cacheEvents(events.at(-1)?.sequence ?? 0))._unsafeUnwrap(), []);
});
