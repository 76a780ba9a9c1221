import * as commander from "commander";

import * as generation from "./generation/index.js";
import * as onceOnly from "./onceOnly/index.js";
import * as streamFollower from "./streamFollower/index.js";

/** Runs random cases by a seed; returns what broke, or null. */
type FuzzTarget = (runsCount: number, seed: number) => Promise<string | null>;

/** What can be fuzzed, by the name on the command line. */
const TARGETS: Readonly<Record<string, FuzzTarget>> = {
  generation: generation.fuzzGeneration,
  "once-only": onceOnly.fuzzOnceOnly,
  "stream-follower": streamFollower.fuzzStreamFollower,
};

const DEFAULT_RUNS = "100";

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
    if (fuzz === undefined) throw new Error(`no target ${name}; there are: ${listTargets()}`);
    const broken = await fuzz(Number(runs), seed);
    process.stdout.write(`${name}: ${runs} runs, seed ${seed}: ${broken ?? "all held"}\n`);
    if (broken !== null) process.exitCode = 1;
  }
}

function parseArguments(): FuzzArguments {
  return new commander.Command("fuzz")
    .option("--target <name>", `one of ${listTargets()}; all when left out`)
    .option("--runs <count>", "random cases of each target", DEFAULT_RUNS)
    .option("--seed <number>", "seed that repeats a run; drawn when left out")
    .parse()
    .opts<FuzzArguments>();
}

function listTargets(): string {
  return Object.keys(TARGETS).join(", ");
}

await main();
