import * as scenarioRuns from "../_lib/scenarioRun/index.js";
import * as sessionReports from "../_lib/sessionReport/index.js";
import * as steps from "../_lib/steps/index.js";
import type * as types from "../types.js";

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
    return { steps: reports, session: sessionReports.describeSession(run) };
  } finally {
    await run[Symbol.asyncDispose]();
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
