import * as timers from "node:timers/promises";

import type * as types from "../../types.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as waitUntil from "../waitUntil/index.js";
import * as catalogueSteps from "./catalogueSteps.js";
import * as vmSteps from "./vmSteps.js";

type WaitStep = types.StepOf<"wait">;

type Waiter = (run: scenarioRuns.ScenarioRun, step: WaitStep) => Promise<void>;

/** Waiters, by the field of the step that requests them. They run one after another. */
const WAITERS: Partial<Record<keyof WaitStep, Waiter>> = {
  ms: async (_run, step) => {
    await timers.setTimeout(step.ms);
  },
  request: waitForRequest,
  ready: (run, step) => vmSteps.waitForReady(run, step.ready ?? [], step.timeoutMs),
  left: waitUntilLeft,
  sees: waitForMemberStates,
  inForce: (run, step) => catalogueSteps.waitUntilInForce(run, step.timeoutMs),
  started: waitForStarted,
  runs: waitForRuns,
};

/** Waits for all conditions that the step names. */
export async function wait(run: scenarioRuns.ScenarioRun, step: WaitStep): Promise<void> {
  for (const [field, waiter] of Object.entries(WAITERS)) {
    if (step[field as keyof WaitStep] !== undefined) await waiter(run, step);
  }
}

async function waitForRequest(run: scenarioRuns.ScenarioRun, step: WaitStep): Promise<void> {
  const caller = run.caller(step.request ?? "");
  const { tokens } = step;
  const describe = (): string =>
    `${caller.name} has ${caller.tokens.length} tokens; ${caller.describe()}`;
  const isReached = (): boolean => tokens !== undefined && caller.tokens.length >= tokens;
  await waitUntil.waitUntil(() => caller.isEnded || isReached(), step.timeoutMs, describe);
  if (tokens !== undefined && !isReached())
    throw new Error(`the request ended before it had ${tokens} tokens: ${describe()}`);
}

async function waitUntilLeft(run: scenarioRuns.ScenarioRun, step: WaitStep): Promise<void> {
  const vm = run.vm(step.left ?? "");
  await waitUntil.waitUntil(
    () => vm.hasFinishedAllWork !== null,
    step.timeoutMs,
    () => `${vm.party.name} still holds ${vm.getDaemon().describeHeld()}`,
  );
  if (vm.hasFinishedAllWork === false) throw new Error(`${vm.party.name} left work unfinished`);
}

async function waitForMemberStates(run: scenarioRuns.ScenarioRun, step: WaitStep): Promise<void> {
  const wanted = Object.entries(step.sees ?? {});
  const { membership } = run.vmAt(step.vm).getDaemon();
  const stateOf = (name: string): string =>
    membership.members().find((member) => member.name === name)?.state ?? "unknown";
  await waitUntil.waitUntil(
    () => wanted.every(([name, state]) => stateOf(name) === state),
    step.timeoutMs,
    () => wanted.map(([name]) => `${name} is ${stateOf(name)}`).join(", "),
  );
}

async function waitForStarted(run: scenarioRuns.ScenarioRun, step: WaitStep): Promise<void> {
  const counters = run.world.engines.get(step.engine ?? "")?.model.counters;
  await waitUntil.waitUntil(
    () => (counters?.startedCount ?? 0) >= (step.started ?? 0),
    step.timeoutMs,
    () => `engine ${step.engine} has started ${counters?.startedCount ?? 0} generations`,
  );
}

async function waitForRuns(run: scenarioRuns.ScenarioRun, step: WaitStep): Promise<void> {
  const { runs } = run.world.serviceModel(step.service ?? "");
  await waitUntil.waitUntil(
    () => runs.length >= (step.runs ?? 0),
    step.timeoutMs,
    () => `service ${step.service} has run ${runs.length} calls`,
  );
}
