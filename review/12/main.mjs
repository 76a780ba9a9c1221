// An engine fails a part of the requests that it runs, with status 503 and without the statement that it did not.
import * as callers from "../standins-3/callers.mjs";
import * as gateways from "../standins-3/gateway.mjs";
import * as plain from "../standins-3/plain.mjs";
import * as platform from "../standins-3/platform.mjs";
import * as trials from "../standins-3/trial.mjs";

const ENGINES_COUNT = 6;
const CALLS_COUNT = 120;
const CALL_INTERVAL_MS = 50;
const FAILED_SHARE = 0.45;
const PROMISES = new Set([408, 421, 429, 503]);

/** Fails 45 in 100 of the requests, spread evenly. */
function createGreyAnswer() {
  let debt = 0;
  return (request, response, engine) => {
    debt += FAILED_SHARE;
    if (debt < 1) {
      plain.succeed(request, response, engine);
      return;
    }
    debt -= 1;
    plain.sendAnswer(request, response, engine, 503, "failed");
  };
}

await trials.runTrial(import.meta.dirname, async (context) => {
  const { record, onEnd } = context;
  trials.require(gateways.Gateway.isBuilt, "the build of the deploy file has not been run");
  const { store, fleet } = await platform.startDeployment(context, 3);
  const engines = [];
  for (let index = 0; index < ENGINES_COUNT; index += 1) {
    const isGrey = index === 0 && trials.hasTrouble;
    const answer = isGrey ? createGreyAnswer() : plain.succeed;
    const engine = await new plain.PlainEngine(`i-02d9e6b${index}`, answer).start("127.0.0.1");
    const zone = ["tln-a", "tln-b", "mrd-c"][index % 3];
    const address = `${engine.host}:${engine.port}`;
    const fields = { service: platform.PLAIN_SERVICE.name, address, zone, slots: 6 };
    const entry = new platform.ServerEntry(store, engine.id, fields);
    entry.begin();
    onEnd(() => entry.end());
    onEnd(() => engine.stop());
    engines.push(engine);
  }
  await platform.awaitFleet(fleet);
  const calls = [];
  for (let index = 0; index < CALLS_COUNT; index += 1) {
    const gateway = fleet[index % fleet.length];
    calls.push(callers.call(gateway, { path: `/pule252/${index}`, timeLeftMs: 1000 }));
    await trials.pause(CALL_INTERVAL_MS);
  }
  const answers = await Promise.all(calls);
  const breaches = [];
  for (const { id, status, signature, retryAfter } of answers) {
    const ran = engines.filter(({ runs }) => runs.includes(id)).map((engine) => engine.id);
    const receipt = signature ?? "none";
    record(`${id}: status ${status}, receipt ${receipt}, retry-after ${retryAfter}, run by ${ran}`);
    if (PROMISES.has(status) && ran.length > 0)
      breaches.push(`REFUSED: ${id} was answered ${status} and has run at ${ran}`);
  }
  const served = answers.filter(({ status }) => status === 200);
  trials.require(served.length > CALLS_COUNT / 2, "most calls were not served");
  return breaches;
});
