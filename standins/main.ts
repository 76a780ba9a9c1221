import * as process from "node:process";

import * as clocks from "../src/_lib/clock/index.js";
import * as randoms from "../src/_lib/random/index.js";
import * as defaultOptions from "./engine/defaultOptions/index.js";
import * as worlds from "./world/index.js";

/** Runs one of each stand-in on loopback until SIGINT or SIGTERM, and prints their names and URLs. */
async function main(): Promise<void> {
  const world = new worlds.StandInWorld(new clocks.SystemClock(), randoms.createRandom(1));
  await world.start();
  const loaded = [{ model: "drafter", version: "1", adapters: [] }];
  const engine = await world.addEngine(
    defaultOptions.createDefaultEngineOptions("engine-1", loaded),
  );
  const service = await world.addService("permits", "permits-1");
  for (const server of [world.log, world.vmList, world.weightStore, engine, service]) {
    process.stdout.write(`${server.name} ${server.url}\n`);
  }
  process.once("SIGINT", () => void world[Symbol.asyncDispose]());
  process.once("SIGTERM", () => void world[Symbol.asyncDispose]());
}

await main();
