import * as commander from "commander";

import * as policies from "./policies/index.js";
import * as runs from "./runExperiment/index.js";
import * as scenarios from "./scenarios/index.js";
import type * as types from "./types.js";

const DEFAULT_POLICIES = ["random", "least-loaded", "max-tokens", "oracle", "chiveferry"];

interface CliOptions {
  readonly seed: number;
  readonly load: number;
  readonly policy: readonly string[];
  readonly json?: boolean;
}

const program = new commander.Command("experiment")
  .description(
    "Simulates an experiment with each policy on a virtual clock; equal seeds give equal results.",
  )
  .argument("<name>", `one of: ${[...scenarios.EXPERIMENTS.keys()].join(", ")}`)
  .option("--seed <number>", "seed of the random number generator", parseInteger, 1)
  .option("--load <number>", "arrival rate relative to the engines' capacity", parsePositive, 0.9)
  .option("--policy <name...>", "policies to run", DEFAULT_POLICIES)
  .option("--json", "print one JSON line per policy")
  .action(runPolicies);

program.parse();

function runPolicies(name: string, options: CliOptions): void {
  const experiment = scenarios.EXPERIMENTS.get(name) ?? program.error(`unknown experiment ${name}`);
  const chosen = options.policy.map(findPolicy);
  const outcomes: types.RunOutcome[] = [];
  for (const policy of chosen) {
    const outcome = runs.runExperiment(experiment, policy, options);
    outcomes.push(outcome);
    if (options.json === true) process.stdout.write(`${JSON.stringify(outcome.result)}\n`);
  }
  if (options.json !== true) process.stdout.write(`${formatTable(outcomes)}\n`);
}

function findPolicy(name: string): policies.Policy {
  return policies.POLICIES.get(name) ?? program.error(`unknown policy ${name}`);
}

function formatTable(outcomes: readonly types.RunOutcome[]): string {
  const rows = outcomes.map(({ result, suspensionsCount }) => ({ ...result, suspensionsCount }));
  const columns = Object.keys(rows[0] ?? {}) as (keyof (typeof rows)[number])[];
  const lines = [columns, ...rows.map((row) => columns.map((column) => String(row[column])))];
  const widths = columns.map((_, index) =>
    Math.max(...lines.map((line) => (line[index] ?? "").length)),
  );
  const format = (line: readonly string[]): string =>
    line.map((cell, index) => cell.padStart(widths[index] ?? 0)).join("  ");
  return lines.map(format).join("\n");
}

function parseInteger(text: string): number {
  const value = Number(text);
  if (!Number.isInteger(value)) throw new commander.InvalidArgumentError("must be an integer");
  return value;
}

function parsePositive(text: string): number {
  const value = Number(text);
  if (!(value > 0)) throw new commander.InvalidArgumentError("must be a positive number");
  return value;
}
