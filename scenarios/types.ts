import type * as zod from "zod";

import type * as schema from "./_lib/schema/index.js";

/** A validated scenario. */
export type Scenario = zod.infer<typeof schema.scenarioSchema>;

/** One step of a scenario. */
export type Step = Scenario["steps"][number];

/** The name of a step, the value of its `do`. */
export type StepName = Step["do"];

/** A step of one kind. */
export type StepOf<Name extends StepName> = Extract<Step, { readonly do: Name }>;

/** A validated scenario and the name of its file. */
export interface ParsedScenario {
  readonly fileName: string;
  readonly scenario: Scenario;
}

/** The result of one step. */
export interface StepReport {
  readonly number: number;
  readonly name: StepName;
  /** Why the step failed; null if it passed. */
  readonly failure: string | null;
}

/** The results of the steps, and the normalised session: what the parties saw. */
export interface ScenarioReport {
  readonly steps: readonly StepReport[];
  readonly session: string;
}
