import type * as types from "../../types.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as targets from "./targets.js";

/** Partitions two parties or data centres from each other. */
export function cut(run: scenarioRuns.ScenarioRun, step: types.StepOf<"cut">): void {
  run.links.cut(...step.between);
}

/** Ends a network partition, a fault of a stand-in, or both. */
export async function heal(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"heal">,
): Promise<void> {
  if (step.between !== undefined) run.links.heal(...step.between);
  if (step.target === undefined || step.fault === undefined) return;
  const { name } = await targets.findTarget(run, step.target);
  await run.standIn(name).heal(step.fault);
}

/** Injects a fault into a stand-in. */
export async function inject(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"inject">,
): Promise<void> {
  const { name } = await targets.findTarget(run, step.target);
  await run.standIn(name).inject({
    fault: step.fault,
    ...(step.durationMs === undefined ? {} : { durationMs: step.durationMs }),
    ...(step.count === undefined ? {} : { count: step.count }),
  });
}
