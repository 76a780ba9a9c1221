import type * as zod from "zod";

import type * as schema from "./_lib/schema/index.js";

/** A checked scenario. */
export type Scenario = zod.infer<typeof schema.scenarioSchema>;

/** One step of a scenario. */
export type Step = Scenario["steps"][number];

/** Names of the steps, as a scenario's `do` gives them. */
export type StepName = Step["do"];

/** A step of one kind. */
export type StepOf<Name extends StepName> = Extract<Step, { readonly do: Name }>;

/** A scenario with the file lines of its steps. */
export interface ParsedScenario {
  readonly fileName: string;
  readonly scenario: Scenario;
}

/** How one step went. */
export interface StepReport {
  readonly number: number;
  readonly name: StepName;
  /** Null where the step passed. */
  readonly failure: string | null;
}

/** How a scenario went, with what its parties saw, normalised. */
export interface ScenarioReport {
  readonly steps: readonly StepReport[];
  readonly session: string;
}
