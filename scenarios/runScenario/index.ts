import * as timers from "node:timers/promises";

import * as scenarioRuns from "../_lib/scenarioRun/index.js";
import * as sessionReports from "../_lib/sessionReport/index.js";
import * as steps from "../_lib/steps/index.js";
import type * as types from "../types.js";

/** A log without an append for this long holds what was on its way to it. */
const LOG_QUIET_MS = 250;

/** Bounds the wait for a log that is never quiet. */
const MAX_LOG_READS = 12;

/** Told of each step when it has ended, while the daemons still run. */
export type OnStep = (
  report: types.StepReport,
  run: scenarioRuns.ScenarioRun,
) => void | Promise<void>;

/**
 * Runs a scenario with whole daemons and stand-ins in this process. A step that fails ends it.
 *
 */
export async function runScenario(
  scenario: types.Scenario,
  onStep: OnStep = () => undefined,
): Promise<types.ScenarioReport> {
  const run = await scenarioRuns.ScenarioRun.create(scenario);
  try {
    const reports: types.StepReport[] = [];
    for (const [index, step] of scenario.steps.entries()) {
      const failure = await failureOf(run, step);
      const report = { number: index + 1, name: step.do, failure };
      reports.push(report);
      await onStep(report, run);
      if (failure !== null) break;
    }
    await settleLog(run);
    return { steps: reports, session: sessionReports.describeSession(run) };
  } finally {
    await run[Symbol.asyncDispose]();
  }
}

/** Outcomes may reach the log after the answer that they belong to. */
async function settleLog(run: scenarioRuns.ScenarioRun): Promise<void> {
  const { model } = run.world.log;
  let seenCount = -1;
  for (let count = 0; count < MAX_LOG_READS && seenCount !== model.appendsCount; count += 1) {
    seenCount = model.appendsCount;
    await timers.setTimeout(LOG_QUIET_MS);
  }
}

async function failureOf(run: scenarioRuns.ScenarioRun, step: types.Step): Promise<string | null> {
  try {
    await steps.runStep(run, step);
    return null;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}
