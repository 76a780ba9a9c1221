import * as scenarios from "../../scenarios/index.js";
import * as localScenario from "./_lib/localScenario.js";

const VM_NAME = "riga-a-1";

const PROMPT = "Justify the route over the eastern ridge. #tokens=60";

const SIGNALS = ["SIGINT", "SIGTERM"] as const;

/**
 * Runs one daemon and stand-ins for its backend servers in this process until SIGINT or SIGTERM.
 */
async function main(): Promise<void> {
  const scenario = localScenario.createLocalScenario([VM_NAME]);
  const run = await scenarios.ScenarioRun.create(scenario);
  for (const step of scenario.steps) await scenarios.runStep(run, step);
  printAddresses(run);
  for (const signal of SIGNALS) process.once(signal, () => void stop(run));
}

async function stop(run: scenarios.ScenarioRun): Promise<void> {
  print("leaving: finishing what runs");
  await run.vm(VM_NAME).getDaemon().leave();
  await run[Symbol.asyncDispose]();
}

function printAddresses(run: scenarios.ScenarioRun): void {
  const { callerUrl, adminUrl } = run.vm(VM_NAME);
  const { world } = run;
  const standIns = [
    world.log,
    world.vmList,
    world.weightStore,
    ...world.engines.values(),
    ...world.services.values(),
  ].map((server) => `${server.name.padEnd(16)} ${server.url}`);
  const key = scenarios.deriveKey("walkers");
  const authorization = `-H 'Authorization: Bearer ${key}' -H 'Content-Type: application/json'`;
  const draft = JSON.stringify({ model: "route-justification", prompt: PROMPT, stream: true });
  const permit = JSON.stringify({ park: "north", walkers: 4 });
  print(`chiveferryd runs as ${VM_NAME}, with stand-ins in the same process.

callers          ${callerUrl}
operators        ${adminUrl}  (key ${scenarios.deriveKey("operator")})
${standIns.join("\n")}

Stream a draft:

curl -N ${callerUrl}/v1/completions ${authorization} -d '${draft}'

File a permit; run it again, and it is not filed again:

curl ${callerUrl}/v1/calls/file-permit ${authorization} -H 'Idempotency-Key: permit-1' -d '${permit}'

Stop with Ctrl-C.`);
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

await main();
