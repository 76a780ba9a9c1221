import tap from "tap";

import * as catalogue from "../../catalogue/types.js";
import type * as backends from "../../backends/types.js";
import * as learners from "../lengthLearner/index.js";
import * as types from "../types.js";
import * as schedulers from "./index.js";

const NEED: types.GenerationNeed = {
  requestId: "r1",
  entryName: "report",
  accountName: "a",
  class: catalogue.RequestClass.Batch,
  model: "m",
  version: "1",
  adapter: null,
  promptTokens: 200,
  prefixHashes: [],
  producedTokens: 0,
  maxTokens: 4_000,
  acceptedAtMs: 0,
  deadlineAtMs: 3_600_000,
};

const REPORT: backends.EngineLoadReport = {
  takenAtMs: 0,
  runningCount: 1,
  waitingCount: 0,
  usedTokens: 0,
  capacityTokens: 10_000,
  stepTimeMs: 30,
  preemptionsCount: 0,
  loadedModels: [{ model: "m", version: "1", adapters: [] }],
  running: [],
  leavingInMs: null,
};

function createScheduler(
  overrides: Partial<schedulers.EngineSchedulerOptions> = {},
): schedulers.EngineScheduler {
  const lengths = new learners.LengthLearner();
  for (let index = 0; index < 200; index += 1) lengths.observe(NEED, 800 + index);
  return new schedulers.EngineScheduler({
    engineName: "e1",
    dataCentre: "tln-a",
    capacityTokens: 10_000,
    maxRunningCount: 64,
    lengths,
    interTokenBoundMsOf: () => null,
    ...overrides,
  });
}

function startMany(scheduler: schedulers.EngineScheduler, count: number): void {
  for (let index = 0; index < count; index += 1) {
    scheduler.onStarted({ ...NEED, requestId: `s${index}` }, 0);
  }
}

function reportedRun(requestId: string, contextTokens: number): backends.ReportedRun {
  return { requestId, attempt: 1, contextTokens, isPreempted: false };
}

tap.test("admission considers the expected growth, not only the memory in use", (t) => {
  const scheduler = createScheduler();
  startMany(scheduler, 9);
  t.equal(scheduler.view(0).runningCount, 9);
  const decision = scheduler.admit(NEED, 0);
  t.equal(decision.verdict, types.AdmissionVerdict.Wait, "2,000 of 10,000 tokens are in use");
  t.ok(decision.estimatedWaitMs > 0);
  t.end();
});

tap.test("a short request is admitted when a long one is not", (t) => {
  const scheduler = createScheduler();
  startMany(scheduler, 9);
  for (let index = 0; index < 9; index += 1) scheduler.onProgress(`s${index}`, 1, 10);
  const short = { ...NEED, requestId: "r2", maxTokens: 20 };
  t.equal(scheduler.admit(short, 0).verdict, types.AdmissionVerdict.Admit);
  t.end();
});

tap.test("prompt tokens waiting for prefill are bounded, except for interactive work", (t) => {
  const scheduler = createScheduler({ capacityTokens: 100_000 });
  startMany(scheduler, 6);
  t.match(scheduler.admit(NEED, 0).reason, /prefill/);
  const lookup = { ...NEED, class: catalogue.RequestClass.Interactive };
  t.equal(scheduler.admit(lookup, 0).verdict, types.AdmissionVerdict.Admit);
  for (let index = 0; index < 6; index += 1) scheduler.onProgress(`s${index}`, 1, 10);
  t.equal(scheduler.admit(NEED, 10).verdict, types.AdmissionVerdict.Admit);
  t.end();
});

tap.test(
  "long prompts and streaming work use different engines until streaming work has to wait",
  (t) => {
    const scheduler = createScheduler({ capacityTokens: 1_000_000 });
    const prompt = { ...NEED, requestId: "p", promptTokens: 60_000, maxTokens: 20 };
    scheduler.onStarted(prompt, 0);
    const draft = { ...NEED, class: catalogue.RequestClass.Streaming, promptTokens: 10 };
    scheduler.onProgress("p", 1, 10);
    t.match(scheduler.admit(draft, 10).reason, /different engines/);
    t.equal(scheduler.admit(draft, 1_000).verdict, types.AdmissionVerdict.Admit);
    t.end();
  },
);

tap.test("work that cannot meet its deadline is refused instead of waiting", (t) => {
  const scheduler = createScheduler();
  startMany(scheduler, 12);
  const urgent = { ...NEED, deadlineAtMs: 2_000 };
  t.equal(scheduler.admit(urgent, 0).verdict, types.AdmissionVerdict.Refuse);
  const started = { ...urgent, producedTokens: 10 };
  t.equal(
    scheduler.admit(started, 0).verdict,
    types.AdmissionVerdict.Wait,
    "a started generation is not refused",
  );
  t.end();
});

tap.test(
  "a run that ended after a load report was taken does not count as another home's run",
  (t) => {
    const scheduler = createScheduler();
    scheduler.onStarted(NEED, 0);
    scheduler.onEnded(NEED.requestId, 100, true);
    scheduler.onLoadReport({ ...REPORT, takenAtMs: 50, running: [reportedRun("r1", 9_000)] }, 200);
    t.equal(scheduler.view(200).reservedTokens, 0);
    t.end();
  },
);

tap.test("runs of another home reduce the capacity", (t) => {
  const scheduler = createScheduler();
  scheduler.onLoadReport({ ...REPORT, takenAtMs: 50, running: [reportedRun("x", 9_000)] }, 200);
  startMany(scheduler, 1);
  t.equal(scheduler.admit(NEED, 200).verdict, types.AdmissionVerdict.Wait);
  t.end();
});

tap.test("generations are suspended before the engine runs out of memory and preempts", (t) => {
  const scheduler = createScheduler();
  startMany(scheduler, 10);
  for (let index = 0; index < 10; index += 1) scheduler.onProgress(`s${index}`, 700, 1_000);
  t.same(scheduler.selectSuspensions(1_000), [], "9,000 tokens and 10 per step still fit");
  for (let index = 0; index < 10; index += 1) scheduler.onProgress(`s${index}`, 797, 2_000);
  const marginBefore = scheduler.marginDeviations;
  t.equal(scheduler.selectSuspensions(2_000).length, 1);
  t.ok(scheduler.marginDeviations > marginBefore, "a suspension raises the safety margin");
  t.end();
});

tap.test("a generation suspended before is not selected while others were never suspended", (t) => {
  const scheduler = createScheduler();
  startMany(scheduler, 10);
  for (let index = 0; index < 10; index += 1) scheduler.onProgress(`s${index}`, 797, 1_000);
  const [first = ""] = scheduler.selectSuspensions(1_000);
  scheduler.onEnded(first, 1_000, false);
  scheduler.onStarted({ ...NEED, requestId: first, producedTokens: 797 }, 1_100);
  const [second = ""] = scheduler.selectSuspensions(1_100);
  t.not(second, "");
  t.not(second, first);
  t.end();
});

tap.test("a leaving engine admits no new work", (t) => {
  const scheduler = createScheduler();
  scheduler.onLoadReport({ ...REPORT, takenAtMs: 1, leavingInMs: 20_000 }, 1);
  t.equal(scheduler.admit(NEED, 2).verdict, types.AdmissionVerdict.Wait);
  t.equal(scheduler.view(2).health, types.EngineHealth.Leaving);
  t.end();
});

tap.test("admission keeps the bound on the time between tokens of streaming generations", (t) => {
  const scheduler = createScheduler({ interTokenBoundMsOf: () => 40 });
  const streaming = { ...NEED, class: catalogue.RequestClass.Streaming, maxTokens: 50 };
  for (let count = 1; count <= 20; count += 1) {
    scheduler.onStarted({ ...streaming, requestId: `w${count}` }, count);
    const report = { ...REPORT, takenAtMs: count, runningCount: count, stepTimeMs: 20 + count };
    scheduler.onLoadReport(report, count);
  }
  const decision = scheduler.admit(streaming, 21);
  t.equal(decision.verdict, types.AdmissionVerdict.Wait, "the step would take more than 40 ms");
  t.match(decision.reason, /time between tokens/);
  t.end();
});
