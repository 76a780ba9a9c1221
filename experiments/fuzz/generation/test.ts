import tap from "tap";

import * as generation from "./index.js";

const SEED = 20_261_203;
const RUNS_COUNT = 20;

tap.test("under random faults, streams neither lose, repeat nor mix tokens", async (t) => {
  t.equal(await generation.fuzzGeneration(RUNS_COUNT, SEED), null);
});
