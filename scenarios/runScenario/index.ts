import * as timers from "node:timers/promises";

import * as scenarioRuns from "../_lib/scenarioRun/index.js";
import * as sessionReports from "../_lib/sessionReport/index.js";
import * as steps from "../_lib/steps/index.js";
import type * as types from "../types.js";

/** A log without an append for this long holds what was on its way to it. */
const LOG_QUIET_MS = 250;

/** Bounds the wait for a log that is never quiet. */
const MAX_LOG_READS = 12;

/**
 * Runs a scenario with whole daemons and stand-ins in this process. A step that fails ends it.
 *
 * @param onStep - told of each step when it has ended
 */
export async function runScenario(
  scenario: types.Scenario,
  onStep: (report: types.StepReport) => void = () => undefined,
): Promise<types.ScenarioReport> {
  const run = await scenarioRuns.ScenarioRun.create(scenario);
  try {
    const reports: types.StepReport[] = [];
    for (const [index, step] of scenario.steps.entries()) {
      const failure = await failureOf(run, step);
      const report = { number: index + 1, name: step.do, failure };
      reports.push(report);
      onStep(report);
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
