import * as timers from "node:timers/promises";

import * as scenarioRuns from "../_lib/scenarioRun/index.js";
import * as sessionReports from "../_lib/sessionReport/index.js";
import * as steps from "../_lib/steps/index.js";
import type * as types from "../types.js";

/** A log without an append for this long is taken to hold all records that were in flight. */
const LOG_QUIET_PERIOD_MS = 250;

/** Maximum polls of a log that keeps receiving appends. */
const MAX_LOG_POLLS_COUNT = 12;

/** Called after each step, while the daemons still run. */
export type OnStep = (
  report: types.StepReport,
  run: scenarioRuns.ScenarioRun,
) => void | Promise<void>;

/**
 * Runs a scenario with complete daemons and stand-ins in this process. The first step that fails
 * ends the run.
 */
export async function runScenario(
  scenario: types.Scenario,
  onStep: OnStep = () => undefined,
): Promise<types.ScenarioReport> {
  const run = await scenarioRuns.ScenarioRun.create(scenario);
  try {
    const reports: types.StepReport[] = [];
    for (const [index, step] of scenario.steps.entries()) {
      const failure = await executeStep(run, step);
      const report = { number: index + 1, name: step.do, failure };
      reports.push(report);
      await onStep(report, run);
      if (failure !== null) break;
    }
    await waitForQuietLog(run);
    return { steps: reports, session: sessionReports.describeSession(run) };
  } finally {
    await run[Symbol.asyncDispose]();
  }
}

/** Waits until the log is quiet: an outcome may reach the log after its answer. */
async function waitForQuietLog(run: scenarioRuns.ScenarioRun): Promise<void> {
  const { model } = run.world.log;
  let seenCount = -1;
  for (let count = 0; count < MAX_LOG_POLLS_COUNT && seenCount !== model.appendsCount; count += 1) {
    seenCount = model.appendsCount;
    await timers.setTimeout(LOG_QUIET_PERIOD_MS);
  }
}

async function executeStep(
  run: scenarioRuns.ScenarioRun,
  step: types.Step,
): Promise<string | null> {
  try {
    await steps.runStep(run, step);
    return null;
  } catch (error) {
    return error instanceof Error ? error.message : String(error);
  }
}
