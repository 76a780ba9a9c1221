import type * as types from "../../types.js";
import type * as callerSessions from "../callerSession/index.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as tokenRanges from "../tokenRanges/index.js";

type RequestStep = types.StepOf<"expect-request">;

type RequestCheck = (
  run: scenarioRuns.ScenarioRun,
  caller: callerSessions.CallerSession,
  step: RequestStep,
) => void;

/** Checks of a request, by the field of the step that requests the check. */
const REQUEST_CHECKS: Partial<Record<keyof RequestStep, RequestCheck>> = {
  status: (_run, caller, step) => {
    // After re-attaching, the last exchange counts.
    expectEqual("status", caller.last?.statusCode, step.status);
  },
  tokens: (_run, caller, step) => expectWholeAnswer(caller, step.tokens ?? 0),
  finish: (_run, caller, step) => expectEqual("finish", caller.finishReason, step.finish),
  execution: (_run, caller, step) => {
    expectEqual("execution", caller.problem?.execution, step.execution);
  },
  problem: (_run, caller, step) => {
    const type = caller.problem?.type.split(":").at(-1);
    expectEqual("problem", type, step.problem);
  },
  contains: (_run, caller, step) => {
    const body = caller.last?.body ?? "";
    if (!body.includes(step.contains ?? ""))
      throw new Error(`expected an answer that contains ${step.contains}, found ${body}`);
  },
  sameAnswerAs: (run, caller, step) => {
    const other = run.caller(step.sameAnswerAs ?? "");
    expectEqual("answer", caller.last?.body, other.last?.body);
  },
};

/** Checks the answer to a request, which must have ended. */
export function expectRequest(run: scenarioRuns.ScenarioRun, step: RequestStep): void {
  const caller = run.caller(step.as);
  if (!caller.isEnded) throw new Error(`${step.as} has not ended: ${caller.describe()}`);
  for (const [field, check] of Object.entries(REQUEST_CHECKS)) {
    if (step[field as keyof RequestStep] === undefined) continue;
    try {
      check(run, caller, step);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new Error(`${reason} (${caller.describe()})`, { cause: error });
    }
  }
}

/** Checks how many calls a service has run, in total or with one key. */
export function expectService(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"expect-service">,
): void {
  const runs = run.world
    .serviceModel(step.service)
    .runs.filter((item) => step.key === undefined || item.key === step.key);
  expectEqual(`runs of ${step.service}`, runs.length, step.runs);
}

/** Checks the counters and loaded models of an engine. */
export function expectEngine(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"expect-engine">,
): void {
  const model = run.world.engines.get(step.engine)?.model;
  if (model === undefined) throw new Error(`the scenario has no engine ${step.engine}`);
  const { startedCount, preemptionsCount } = model.counters;
  if (step.started !== undefined) expectEqual("started", startedCount, step.started);
  expectAtMost("started", startedCount, step.maxStarted);
  expectAtMost("preemptions", preemptionsCount, step.maxPreemptions);
  expectAtMost("minPreemptions", step.minPreemptions ?? 0, preemptionsCount);
  const loaded = model.orders.loadedModels.map((item) => `${item.model}/${item.version}`);
  if (step.loaded !== undefined) {
    expectEqual("loaded", [...loaded].sort().join(", "), [...step.loaded].sort().join(", "));
  }
}

/** Checks whether a VM is ready. */
export function expectVm(run: scenarioRuns.ScenarioRun, step: types.StepOf<"expect-vm">): void {
  const { isReady, reason } = run.vm(step.vm).getDaemon().readiness();
  if (isReady !== step.ready)
    throw new Error(
      `expected readiness ${step.ready} of VM ${step.vm}, found ${isReady}: ${reason}`,
    );
}

/** Checks fields of a catalogue item, as one VM sees it. */
export async function expectItem(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"expect-item">,
): Promise<void> {
  const items = await run.adminOf(run.vmAt(step.at)).listItems();
  const found = items.find(({ item }) => item.kind === step.kind && item.name === step.name)?.item;
  if (found === undefined) throw new Error(`the catalogue has no item ${step.kind}/${step.name}`);
  const values = found as unknown as Readonly<Record<string, unknown>>;
  for (const [field, value] of Object.entries(step.fields)) {
    expectEqual(field, JSON.stringify(values[field]), JSON.stringify(value));
  }
}

/** Checks the order of the steps in a request's trace, and the offset of the last one. */
export async function expectTrace(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"expect-trace">,
): Promise<void> {
  const { requestId } = run.caller(step.as);
  const { value } = await run.adminOf(run.vmAt(step.at)).explainRequest(requestId ?? "");
  const events = [...value].sort((left, right) => left.atWallMs - right.atWallMs);
  let position = -1;
  for (const expected of step.steps) {
    position = events.findIndex((event, index) => index > position && event.step === expected);
    if (position >= 0) continue;
    const found = events.map((event) => event.step).join(", ");
    throw new Error(`expected ${step.steps.join(", ")} in this order, found ${found}`);
  }
  expectAtMost("offsetAtLeast", step.offsetAtLeast ?? 0, events[position]?.offset ?? 0);
}

/** Checks that the tokens form one range from 0: none missing or repeated, from one sampling. */
function expectWholeAnswer(caller: callerSessions.CallerSession, count: number): void {
  const ranges = tokenRanges.groupTokenRanges(caller.tokens);
  const found = ranges.map((item) => `${item.firstOffset}-${item.lastOffset} of ${item.sampling}`);
  const [only] = ranges;
  const isWhole = ranges.length === 1 && only?.firstOffset === 0 && only.lastOffset === count - 1;
  if (!isWhole)
    throw new Error(`expected tokens 0-${count - 1} from one sampling, found ${found.join(", ")}`);
}

function expectEqual(what: string, found: unknown, expected: unknown): void {
  if (found !== expected) {
    throw new Error(`expected ${what} ${String(expected)}, found ${String(found)}`);
  }
}

function expectAtMost(what: string, found: number, bound: number | undefined): void {
  if (bound !== undefined && found > bound) {
    throw new Error(`expected ${what} of at most ${bound}, found ${found}`);
  }
}
