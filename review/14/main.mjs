// Sound engines fall silent for a second while they work on their first events.
import * as childProcess from "node:child_process";
import * as http from "node:http";
import * as path from "node:path";

import * as callers from "../standins-3/callers.mjs";
import * as gateways from "../standins-3/gateway.mjs";
import * as platform from "../standins-3/platform.mjs";
import * as trials from "../standins-3/trial.mjs";

const ENGINE_PROGRAM = path.resolve(import.meta.dirname, "../standins-3/engine.mjs");
const ENGINES_COUNT = 6;
const CLIENTS_COUNT = 24;
const EVENTS_COUNT = 3;
const GAP_MS = 20;
/** Time to the first event, within the objective of 1,500 ms. */
const FIRST_MS = 1200;
const SILENCE_MS = 1200;
/** The operator's time-out, under the clients' time limit of 6,000 ms. */
const TIMEOUT_MS = 2000;
const CALLS_MS = 8000;
const MOST_LOST = 3;

const ROUTE = {
  ...{ ...platform.STREAM_ROUTE, name: "tag-classify", priority: 0 },
  ...{ timeout_ms: TIMEOUT_MS, target_latency_ms: 1500 },
};

async function startEngine(index, { store, onEnd, record }) {
  const host = "127.0.0.1";
  const port = await gateways.findFreePort(host);
  const id = `i-7f3a91c${index}`;
  const args = [id, host, port, EVENTS_COUNT, GAP_MS, FIRST_MS].map(String);
  const child = childProcess.fork(ENGINE_PROGRAM, args);
  onEnd(() => child.kill("SIGKILL"));
  await new Promise((resolve) => child.once("message", resolve));
  child.on("message", ({ run }) => record(`engine ${id} runs ${run}`));
  const zone = ["tln-a", "tln-b", "mrd-c"][index % 3];
  const fields = { service: platform.MODEL_SERVICE.name, address: `${host}:${port}`, zone };
  const entry = new platform.ServerEntry(store, id, fields);
  entry.begin();
  onEnd(() => entry.end());
  return child;
}

/** Sends one request after the other on a kept channel until a time. */
async function callUntil(endAtMs, gateway, answers) {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  for (let index = 0; Date.now() < endAtMs; index += 1) {
    const headers = callers.GENERATION_HEADERS;
    const options = { path: `/lohu930/${index}`, timeLeftMs: 6000, headers, agent };
    answers.push({ machine: gateway.name, ...(await callers.call(gateway, options)) });
  }
  agent.destroy();
}

await trials.runTrial(import.meta.dirname, async (context) => {
  const { record } = context;
  trials.require(gateways.Gateway.isBuilt, "the build of the deploy file has not been run");
  const { store, fleet } = await platform.startDeployment(context, 3);
  store.put("keyed.op", "config", platform.createConfiguration(2, [ROUTE]));
  const engines = [];
  for (let index = 0; index < ENGINES_COUNT; index += 1)
    engines.push(await startEngine(index, { ...context, store }));
  await platform.awaitFleet(fleet);
  await trials.pause(1000);
  const answers = [];
  const endAtMs = Date.now() + CALLS_MS;
  const calls = Array.from({ length: CLIENTS_COUNT }, (_, index) =>
    callUntil(endAtMs, fleet[index % fleet.length], answers),
  );
  await trials.pause(4000);
  if (trials.hasTrouble) {
    record("the engines fall silent");
    for (const child of engines) child.kill("SIGSTOP");
    await trials.pause(SILENCE_MS);
    for (const child of engines) child.kill("SIGCONT");
    record("the engines go on");
  }
  await Promise.all(calls);
  for (const { id, machine, status, isComplete, elapsedMs, error = "none" } of answers)
    record(`${id} ${machine}: ${status}, complete ${isComplete}, ${elapsedMs} ms, error ${error}`);
  const lost = answers.filter(({ status, error }) => status === 0 && error !== "time limit");
  const served = answers.filter(({ status, isComplete }) => status === 200 && isComplete);
  trials.require(served.length > 0, "no stream was served");
  const counts = fleet.map(({ name }) => ({
    name,
    count: lost.filter(({ machine }) => machine === name).length,
  }));
  return counts
    .filter(({ count }) => count > MOST_LOST)
    .map(({ name, count }) => `LOST: ${name} closed ${count} channels without an answer`);
});
