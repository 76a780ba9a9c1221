import * as commander from "commander";

import * as decoders from "./decoders/index.js";
import * as generation from "./generation/index.js";
import * as onceOnly from "./onceOnly/index.js";
import * as streamFollower from "./streamFollower/index.js";

/** Runs random cases from a seed; returns a report of the smallest failing case, or null. */
type FuzzTarget = (runsCount: number, seed: number) => Promise<string | null>;

/** Fuzz targets by their name on the command line. */
const TARGETS: Readonly<Record<string, FuzzTarget>> = {
  decoders: decoders.fuzzDecoders,
  generation: generation.fuzzGeneration,
  "once-only": onceOnly.fuzzOnceOnly,
  "stream-follower": streamFollower.fuzzStreamFollower,
};

const DEFAULT_RUNS_COUNT = "100";

interface FuzzArguments {
  readonly target?: string;
  readonly runs: string;
  readonly seed?: string;
}

async function main(): Promise<void> {
  const { target, runs, seed: givenSeed } = parseArguments();
  const names = target === undefined ? Object.keys(TARGETS) : [target];
  const seed = givenSeed === undefined ? Date.now() % 2 ** 31 : Number(givenSeed);
  for (const name of names) {
    const fuzz = TARGETS[name];
    if (fuzz === undefined) throw new Error(`unknown target ${name}; available: ${listTargets()}`);
    const violation = await fuzz(Number(runs), seed);
    process.stdout.write(`${name}: ${runs} runs, seed ${seed}: ${violation ?? "all held"}\n`);
    if (violation !== null) process.exitCode = 1;
  }
}

function parseArguments(): FuzzArguments {
  return new commander.Command("fuzz")
    .option("--target <name>", `one of ${listTargets()}; all if omitted`)
    .option("--runs <count>", "random cases of each target", DEFAULT_RUNS_COUNT)
    .option("--seed <number>", "seed that reproduces a run; taken from the clock if omitted")
    .parse()
    .opts<FuzzArguments>();
}

function listTargets(): string {
  return Object.keys(TARGETS).join(", ");
}

await main();
