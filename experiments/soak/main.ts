import * as commander from "commander";

import * as randoms from "../../src/_lib/random/index.js";
import * as callers from "./callers/index.js";
import * as checks from "./checks/index.js";
import * as faults from "./faults/index.js";
import * as processes from "./processes/index.js";
import * as soakFleets from "./soakFleet/index.js";

interface SoakOptions {
  readonly seed: string;
  readonly seeds?: string;
  readonly seconds: string;
  readonly vms: string;
  /** Lets servers run what they refuse, which the checks have to see. */
  readonly plant?: boolean;
}

/** Time in which the fleet comes up before faults begin. */
const WARM_UP_MS = 2_500;

/** Time for calls that are under way when the faults end. */
const SETTLE_MS = 7_000;

const CALL_INTERVAL_MS = 12;

const program = new commander.Command("soak")
  .description("gateways as processes, random faults from outside, the promises checked meanwhile")
  .option("--seed <number>", "seed of calls and faults", "1")
  .option("--seeds <from..to>", "several seeds, one after the other")
  .option("--seconds <number>", "time of faults for each seed", "20")
  .option("--vms <number>", "gateways", "4")
  .option("--plant", "plant a fault that the checks must find; exits with 0 if they do")
  .action(runAll);

async function runAll(options: SoakOptions): Promise<void> {
  const [first = 1, last = first] = (options.seeds ?? options.seed).split("..").map(Number);
  let failedCount = 0;
  for (let seed = first; seed <= last; seed += 1) {
    if (!(await runSeed(seed, options))) failedCount += 1;
  }
  const hasFound = failedCount > 0;
  process.exitCode = hasFound === (options.plant === true) ? 0 : 1;
}

/** Runs one seed; returns whether all promises held. */
async function runSeed(seed: number, options: SoakOptions): Promise<boolean> {
  const random = randoms.createRandom(seed);
  const watch = new checks.Checks();
  const directory = processes.createLogFolder(seed);
  const told: string[] = [];
  await using fleet = new soakFleets.SoakFleet(watch, directory);
  await fleet.start(Number(options.vms));
  await pause(WARM_UP_MS);
  if (options.plant === true) plantFault(fleet);
  const endsAtMs = Date.now() + Number(options.seconds) * 1_000;
  const calling = makeCalls(seed, fleet, watch, random.fork(), endsAtMs + SETTLE_MS / 2);
  const faultRandom = random.fork();
  await Promise.all([1, 2].map(() => injectFaults(fleet, faultRandom, endsAtMs, told)));
  await calling;
  await pause(SETTLE_MS);
  report(seed, watch, told, directory);
  return watch.violations.length === 0;
}

async function makeCalls(
  seed: number,
  fleet: soakFleets.SoakFleet,
  watch: checks.Checks,
  random: randoms.RandomSource,
  endsAtMs: number,
): Promise<void> {
  for (let index = 0; Date.now() < endsAtMs; index += 1) {
    const id = `s${seed}-${index}`;
    void callers.makeCall(id, fleet.apiKey, fleet.vms, random, watch);
    await pause(CALL_INTERVAL_MS);
  }
}

/** Faults in series; two series overlap. */
async function injectFaults(
  fleet: soakFleets.SoakFleet,
  random: randoms.RandomSource,
  endsAtMs: number,
  told: string[],
): Promise<void> {
  while (Date.now() < endsAtMs) {
    const [name, inject] = faults.pick(Object.entries(faults.FAULTS), random);
    told.push(name);
    await inject(fleet, random);
    await pause(400 * random.next());
  }
}

function plantFault(fleet: soakFleets.SoakFleet): void {
  for (const server of fleet.servers) {
    fleet.misbehave(server, (call, response, self) => {
      self.runs.push(call.id);
      response.writeHead(503, { "X-Attempt-Id": call.id, "X-Not-Executed": "1" }).end();
    });
  }
}

function report(
  seed: number,
  watch: checks.Checks,
  told: readonly string[],
  directory: string,
): void {
  const { endsCount, servedCount, violations } = watch;
  const verdict = violations.length === 0 ? "held" : "BROKEN";
  const summary = `seed ${seed}: ${verdict}, ${servedCount} of ${endsCount} calls served`;
  process.stdout.write(`${summary}, ${told.length} faults\n`);
  if (violations.length === 0) return;
  process.stdout.write(`  faults: ${told.join(", ")}\n  logs: ${directory}\n`);
  for (const { promise, detail } of violations.slice(0, 5)) {
    process.stdout.write(`  ${promise}: ${detail}\n`);
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

await program.parseAsync();
