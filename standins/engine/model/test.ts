import tap from "tap";

import type * as backends from "../../../src/backends/types.js";
import * as randoms from "../../../src/_lib/random/index.js";
import * as virtualClocks from "../../../src/_lib/virtualClock/index.js";
import * as types from "../types.js";
import * as models from "./index.js";

const OPTIONS: types.EngineModelOptions = {
  name: "engine-1",
  capacityTokens: 1_000,
  maxRunningCount: 8,
  stepBaseMs: 10,
  stepPerSequenceMs: 1,
  stepPerContextTokenMs: 0,
  stepPerPrefillTokenMs: 0.1,
  maxPrefillTokensPerStep: 512,
  cacheBlockTokens: 16,
  loadReportLagMs: 100,
  cacheEventLagMs: 0,
  cacheEventLossRatio: 0,
  checksFencing: true,
  modelLoadMs: 100,
  loadedModels: [{ model: "m", version: "1", adapters: [] }],
  lengthOf: () => 400,
  promptTokensOf: () => 100,
};

const REQUEST: backends.EngineRequest = {
  requestId: "r1",
  attempt: 1,
  model: "m",
  version: "1",
  adapter: null,
  prompt: "a b c",
  prefixTokens: [],
  maxTokens: 1_000,
  priority: 0,
  seed: 1,
};

class CollectingSink implements types.StreamSink {
  readonly tokens: string[] = [];
  finishReason: string | null = null;
  brokenReason: string | null = null;

  onFrame(frame: backends.EngineFrame): void {
    frame.tokens.forEach((token, index) => (this.tokens[frame.offset + index] = token));
    this.finishReason = frame.finishReason;
  }

  onBroken(reason: string): void {
    this.brokenReason = reason;
  }
}

function createEngine(overrides: Partial<types.EngineModelOptions> = {}): {
  engine: models.EngineModel;
  clock: virtualClocks.VirtualClock;
} {
  const clock = new virtualClocks.VirtualClock();
  const engine = new models.EngineModel(
    { ...OPTIONS, ...overrides },
    clock,
    randoms.createRandom(1),
  );
  return { engine, clock };
}

tap.test("a run delivers its full output length", (t) => {
  const { engine, clock } = createEngine();
  const sink = new CollectingSink();
  engine.start(REQUEST, sink);
  clock.advanceToMs(10_000);
  t.equal(sink.tokens.length, 400);
  t.equal(sink.finishReason, "stop");
  t.end();
});

tap.test("memory that fills up during decoding causes preemption", (t) => {
  const { engine, clock } = createEngine();
  const sinks = [new CollectingSink(), new CollectingSink(), new CollectingSink()];
  sinks.forEach((sink, index) => engine.start({ ...REQUEST, requestId: `r${index}` }, sink));
  clock.advanceToMs(30_000);
  t.ok(engine.counters.preemptionsCount > 0);
  t.same(
    sinks.map((sink) => sink.tokens.length),
    [400, 400, 400],
    "preempted runs still deliver their full output",
  );
  t.end();
});

tap.test("a run continued from a prefix produces the same remaining output", (t) => {
  const { engine, clock } = createEngine();
  const complete = new CollectingSink();
  engine.start(REQUEST, complete);
  clock.advanceToMs(10_000);
  const continued = new CollectingSink();
  const prefixTokens = complete.tokens.slice(0, 150);
  engine.start({ ...REQUEST, attempt: 2, prefixTokens }, continued);
  clock.advanceToMs(20_000);
  t.same(continued.tokens.filter(Boolean), complete.tokens.slice(150));
  t.end();
});

tap.test("a resumed stream continues from its offset and its old connection stops", (t) => {
  const { engine, clock } = createEngine();
  const first = new CollectingSink();
  engine.start(REQUEST, first);
  clock.advanceToMs(1_000);
  const seenCount = first.tokens.length;
  const second = new CollectingSink();
  engine.resume("r1", 1, seenCount - 5, second);
  clock.advanceToMs(10_000);
  t.equal(first.tokens.length, seenCount);
  t.equal(second.tokens.length, 400);
  t.end();
});

tap.test("an order with an older fencing number is refused", (t) => {
  const { engine } = createEngine();
  t.ok(engine.orders.execute({ kind: "set-role", role: "a", fencingNumber: 5 } as never).isOk());
  const stale = engine.orders.execute({ kind: "set-role", role: "b", fencingNumber: 4 } as never);
  t.ok(stale.isErr());
  t.equal(engine.orders.role, "a");
  t.end();
});

tap.test("the death of an engine breaks every stream, and new runs are refused", (t) => {
  const { engine, clock } = createEngine();
  const sink = new CollectingSink();
  engine.start(REQUEST, sink);
  clock.advanceToMs(500);
  engine.inject(types.EngineFault.Dead);
  t.equal(sink.brokenReason, "engine died");
  t.ok(engine.start(REQUEST, sink).isErr());
  t.end();
});

/** A clock on which each timer fires late, as on a busy machine. */
class LateClock extends virtualClocks.VirtualClock {
  constructor(private readonly lateMs: number) {
    super();
  }

  override schedule(delayMs: number, callback: () => void): Disposable {
    return super.schedule(delayMs + this.lateMs, callback);
  }
}

tap.test("the delays of late timers do not add up over the steps of a run", (t) => {
  const clock = new LateClock(6);
  const engine = new models.EngineModel(OPTIONS, clock, randoms.createRandom(1));
  const sink = new CollectingSink();
  engine.start(REQUEST, sink);
  // 400 steps of 11 ms, and a little for the prompt.
  clock.advanceToMs(400 * 11 + 100);
  t.equal(sink.tokens.length, 400);
  t.equal(sink.finishReason, "stop");
  t.end();
});
