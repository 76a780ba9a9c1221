import * as commander from "commander";
import * as fastCheck from "fast-check";

import * as generation from "./generation/index.js";

/** Plays random runs of a target; throws with the seed and the smallest failing run. */
type FuzzTarget = (parameters: fastCheck.Parameters<unknown>) => Promise<void>;

const TARGETS: Readonly<Record<string, FuzzTarget>> = {
  generation: (parameters) =>
    fastCheck.assert(
      fastCheck.asyncProperty(generation.runs, async (run) => {
        const problems = await generation.play(run);
        if (problems.length > 0) throw new Error(problems.join("\n"));
      }),
      parameters as fastCheck.Parameters<[generation.FuzzedRun]>,
    ),
};

interface FuzzOptions {
  readonly target: string;
  readonly runs: string;
  readonly seed: string;
}

async function main(): Promise<void> {
  const command = new commander.Command("fuzz")
    .description("Plays random orders of faults and checks the promises to callers")
    .addOption(
      new commander.Option("--target <name>", "what to play")
        .choices(Object.keys(TARGETS))
        .default("generation"),
    )
    .option("--runs <count>", "how many runs", "100")
    .option("--seed <number>", "seed of the first run", String(Date.now() % 2 ** 31))
    .parse();
  const { target, runs, seed } = command.opts<FuzzOptions>();
  const parameters = { numRuns: Number(runs), seed: Number(seed) };
  process.stdout.write(`target ${target}, ${runs} runs, seed ${seed}\n`);
  try {
    await TARGETS[target]?.(parameters);
    process.stdout.write("all promises held\n");
  } catch (error) {
    process.stdout.write(`${describeError(error)}\n`);
    process.exitCode = 1;
  }
}

function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  return error.cause === undefined
    ? error.message
    : `${error.message}\n${describeError(error.cause)}`;
}

await main();
