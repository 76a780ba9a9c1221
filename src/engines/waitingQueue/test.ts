import tap from "tap";

import * as catalogue from "../../catalogue/types.js";
import type * as types from "../types.js";
import * as queues from "./index.js";

const LOADED = [{ model: "m", version: "1", adapters: [] }];
const ANY_CAPACITY: types.EngineCapacity = { loadedModels: LOADED, accepts: () => true };

function need(
  requestId: string,
  overrides: Partial<types.GenerationNeed> = {},
): types.GenerationNeed {
  return {
    requestId,
    entryName: "e",
    accountName: "a",
    class: catalogue.RequestClass.Batch,
    model: "m",
    version: "1",
    adapter: null,
    promptTokens: 100,
    prefixHashes: [],
    producedTokens: 0,
    maxTokens: 1_000,
    acceptedAtMs: 0,
    deadlineAtMs: 1_000_000,
    ...overrides,
  };
}

function createQueue(maxWaitingCount = 100): queues.WaitingQueue {
  return new queues.WaitingQueue({ maxWaitingCount, expectedTokensOf: () => 100 });
}

function takeAll(queue: queues.WaitingQueue, nowMs = 0): readonly string[] {
  const taken: string[] = [];
  for (;;) {
    const next = queue.nextFor(ANY_CAPACITY, nowMs);
    if (next === null) return taken;
    taken.push(next.requestId);
  }
}

tap.test(
  "interactive requests are served before streaming ones, and both before batch requests",
  (t) => {
    const queue = createQueue();
    queue.push(need("batch"));
    queue.push(need("draft", { class: catalogue.RequestClass.Streaming }));
    queue.push(need("lookup", { class: catalogue.RequestClass.Interactive }));
    t.same(takeAll(queue), ["lookup", "draft", "batch"]);
    t.end();
  },
);

tap.test("within a class the earliest deadline is served first, after started requests", (t) => {
  const queue = createQueue();
  queue.push(need("late", { deadlineAtMs: 900 }));
  queue.push(need("early", { deadlineAtMs: 100 }));
  queue.push(need("started", { deadlineAtMs: 950, producedTokens: 5 }));
  t.same(takeAll(queue), ["started", "early", "late"]);
  t.end();
});

tap.test("an account with many requests cannot starve one with few", (t) => {
  const queue = createQueue();
  for (let index = 0; index < 10; index += 1) {
    queue.push(need(`l${index}`, { accountName: "large", deadlineAtMs: index }));
  }
  queue.push(need("s0", { accountName: "small" }));
  queue.push(need("s1", { accountName: "small" }));
  const order = takeAll(queue);
  t.ok(order.indexOf("s1") <= 3, order.join(" "));
  t.end();
});

tap.test("idle time earns an account no credit", (t) => {
  const queue = createQueue();
  for (let index = 0; index < 6; index += 1) queue.push(need(`l${index}`, { accountName: "busy" }));
  for (let index = 0; index < 4; index += 1) queue.nextFor(ANY_CAPACITY, 0);
  for (let index = 0; index < 4; index += 1) queue.push(need(`n${index}`, { accountName: "new" }));
  const order = takeAll(queue);
  t.ok(order.indexOf("l4") <= 2, order.join(" "));
  t.end();
});

tap.test(
  "ageing makes batch work more urgent than streaming work, but not than interactive work",
  (t) => {
    const queue = createQueue();
    queue.push(need("old", { acceptedAtMs: 0 }));
    queue.push(need("draft", { class: catalogue.RequestClass.Streaming, acceptedAtMs: 100_000 }));
    queue.push(
      need("lookup", { class: catalogue.RequestClass.Interactive, acceptedAtMs: 100_000 }),
    );
    t.same(takeAll(queue, 100_000), ["lookup", "old", "draft"]);
    t.end();
  },
);

tap.test("a request that does not fit is bypassed by a smaller one and keeps its position", (t) => {
  const queue = createQueue();
  queue.push(need("large", { promptTokens: 5_000, deadlineAtMs: 1 }));
  queue.push(need("small", { promptTokens: 10, deadlineAtMs: 2 }));
  const capacity = {
    loadedModels: LOADED,
    accepts: (n: types.GenerationNeed) => n.promptTokens < 99,
  };
  t.equal(queue.nextFor(capacity, 0)?.requestId, "small");
  t.equal(queue.nextFor(capacity, 0), null);
  t.equal(queue.nextFor(ANY_CAPACITY, 0)?.requestId, "large");
  t.end();
});

tap.test("capacity of another model or version serves no request", (t) => {
  const queue = createQueue();
  queue.push(need("r", { version: "2" }));
  t.equal(queue.nextFor(ANY_CAPACITY, 0), null);
  t.equal(queue.count, 1);
  t.end();
});

tap.test("a full queue refuses new requests as not run, but accepts started ones", (t) => {
  const queue = createQueue(1);
  t.ok(queue.push(need("a")).isOk());
  t.equal(queue.push(need("b"))._unsafeUnwrapErr().execution, "not-run");
  t.ok(queue.push(need("c", { producedTokens: 3 })).isOk());
  t.end();
});

tap.test("only requests that have not started expire", (t) => {
  const queue = createQueue();
  queue.push(need("expired", { deadlineAtMs: 50 }));
  queue.push(need("started", { deadlineAtMs: 50, producedTokens: 1 }));
  queue.push(need("fresh", { deadlineAtMs: 500 }));
  t.same(
    queue.expire(100).map((item) => item.requestId),
    ["expired"],
  );
  t.equal(queue.count, 2);
  t.equal(queue.remove("fresh")?.requestId, "fresh");
  t.equal(queue.remove("fresh"), null);
  t.end();
});

tap.test("the summary contains the most urgent request of each model", (t) => {
  const queue = createQueue();
  queue.push(need("b"));
  queue.push(need("i", { class: catalogue.RequestClass.Interactive }));
  queue.push(need("other", { model: "n" }));
  const summary = queue.summary(0);
  t.same(
    summary.map((item) => [item.model, item.requestId, item.waitingCount]),
    [
      ["m", "i", 2],
      ["n", "other", 1],
    ],
  );
  t.end();
});
