import * as commander from "commander";

import * as randoms from "../../src/_lib/random/index.js";
import * as callers from "./callers/index.js";
import * as checks from "./checks/index.js";
import * as faults from "./faults/index.js";
import * as keptCallers from "./keptCallers/index.js";
import * as processes from "./processes/index.js";
import * as soakFleets from "./soakFleet/index.js";

interface SoakOptions {
  readonly seed: string;
  readonly seeds?: string;
  readonly seconds: string;
  readonly vms: string;
  readonly faults?: string;
  /** Makes servers execute calls that they refuse, a fault that the checks must detect. */
  readonly plant?: boolean;
}

interface FaultOptions extends Pick<SoakOptions, "faults"> {
  /** Receives the name of each injected fault. */
  readonly injectedFaults: string[];
}

/** Time for the fleet to start before faults are injected. */
const WARM_UP_MS = 2_500;

/** Time for calls to end after the last fault. */
const SETTLE_MS = 7_000;

const CALL_INTERVAL_MS = 12;

/** Time within which all VMs read a change. */
const REPLICATION_MS = 2_000;

const program = new commander.Command("soak")
  .description("Runs gateways as processes, injects random faults and checks invariants meanwhile.")
  .option("--seed <number>", "seed of calls and faults", "1")
  .option("--seeds <from..to>", "range of seeds, run one after another")
  .option("--seconds <number>", "duration of the fault injection for each seed", "20")
  .option("--vms <number>", "number of gateways", "4")
  .option("--faults <names>", "only these faults, separated by commas")
  .option("--plant", "inject a fault that the checks must detect; exits with 0 if they do")
  .action(runSeeds);

async function runSeeds(options: SoakOptions): Promise<void> {
  const [first = 1, last = first] = (options.seeds ?? options.seed).split("..").map(Number);
  let failedCount = 0;
  for (let seed = first; seed <= last; seed += 1) {
    if (!(await runSeed(seed, options))) failedCount += 1;
  }
  const hasViolations = failedCount > 0;
  process.exitCode = hasViolations === (options.plant === true) ? 0 : 1;
}

/** Runs one seed; returns whether all invariants held. */
async function runSeed(seed: number, options: SoakOptions): Promise<boolean> {
  const random = randoms.createRandom(seed);
  const checker = new checks.InvariantChecker();
  const directory = processes.createLogFolder(seed);
  const injectedFaults: string[] = [];
  await using fleet = new soakFleets.SoakFleet(checker, directory);
  await fleet.start(Number(options.vms));
  await pause(WARM_UP_MS);
  if (options.plant === true) injectDetectableFault(fleet);
  const endsAtMs = Date.now() + Number(options.seconds) * 1_000;
  const callsEndAtMs = endsAtMs + SETTLE_MS / 2;
  const calling = makeCalls(seed, fleet, checker, random.fork(), callsEndAtMs);
  const keptCalling = keptCallers.callOnKeptConnections(fleet, seed, callsEndAtMs);
  const faultRandom = random.fork();
  await Promise.all(
    [1, 2].map(() => injectFaults(fleet, faultRandom, endsAtMs, { injectedFaults, ...options })),
  );
  await Promise.all([calling, keptCalling]);
  await restoreBetweenChanges(fleet);
  await pause(SETTLE_MS);
  await fleet.checkConfigurationInForce(seed);
  printReport(seed, checker, injectedFaults, directory);
  printFramings(fleet);
  const peaksMb = fleet.vms.map(({ peakMemoryMb }) => Math.round(peakMemoryMb));
  process.stdout.write(`  most memory used by VM: ${peaksMb.join(", ")} MB\n`);
  return checker.violations.length === 0;
}

async function makeCalls(
  seed: number,
  fleet: soakFleets.SoakFleet,
  checker: checks.InvariantChecker,
  random: randoms.RandomSource,
  endsAtMs: number,
): Promise<void> {
  for (let index = 0; Date.now() < endsAtMs; index += 1) {
    const id = `s${seed}-${index}`;
    void callers.makeCall(id, fleet.apiKey, fleet.vms, random, checker);
    await pause(CALL_INTERVAL_MS);
  }
}

/** Injects faults one after another until the given time; two such sequences run concurrently. */
async function injectFaults(
  fleet: soakFleets.SoakFleet,
  random: randoms.RandomSource,
  endsAtMs: number,
  { injectedFaults, faults: names }: FaultOptions,
): Promise<void> {
  const selectedNames = names?.split(",");
  const candidates = Object.entries(faults.FAULTS).filter(
    ([name]) => selectedNames?.includes(name) !== false,
  );
  while (Date.now() < endsAtMs) {
    const [name, inject] = faults.drawOne(candidates, random);
    injectedFaults.push(name);
    if (name !== "account floods") fleet.disturbancesCount += 1;
    await inject(fleet, random);
    await pause(400 * random.next());
  }
}

/** Restores the store between two changes, so that the second one gets the offset of the first. */
async function restoreBetweenChanges(fleet: soakFleets.SoakFleet): Promise<void> {
  await pause(REPLICATION_MS);
  const copy = fleet.store.copy();
  fleet.replaceKey();
  await pause(REPLICATION_MS);
  fleet.restoreStore(copy, REPLICATION_MS);
  fleet.replaceKey();
}

function injectDetectableFault(fleet: soakFleets.SoakFleet): void {
  for (const server of fleet.servers) {
    fleet.setFaultyBehaviour(server, (call, response, self) => {
      self.runs.push(call.id);
      response.writeHead(503, { "X-Attempt-Id": call.id, "X-Not-Executed": "1" }).end();
    });
  }
}

function printReport(
  seed: number,
  checker: checks.InvariantChecker,
  injectedFaults: readonly string[],
  directory: string,
): void {
  const { endsCount, servedCount, violations } = checker;
  const verdict = violations.length === 0 ? "held" : "BROKEN";
  const summary = `seed ${seed}: ${verdict}, ${servedCount} of ${endsCount} calls served`;
  process.stdout.write(`${summary}, ${injectedFaults.length} faults\n`);
  if (violations.length === 0) return;
  process.stdout.write(`  faults: ${injectedFaults.join(", ")}\n  logs: ${directory}\n`);
  for (const { invariant, detail } of violations.slice(0, 5)) {
    process.stdout.write(`  ${invariant}: ${detail}\n`);
  }
}

/** Prints what became of the runs that engines have stopped, by the framing of their streams. */
function printFramings({ streams }: soakFleets.SoakFleet): void {
  const texts = Object.entries(streams.counts).map(
    ([framing, { stopped, continued }]) => `${framing} ${continued} of ${stopped}`,
  );
  process.stdout.write(`  stopped runs that went on, by framing: ${texts.join(", ")}\n`);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

await program.parseAsync();
