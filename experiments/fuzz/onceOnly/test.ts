import tap from "tap";

import * as onceOnly from "./index.js";

const RUNS_COUNT = 300;
const SEED = 20_261_203;

tap.test("a key is executed at most once and answered correctly under random faults", async (t) => {
  t.equal(await onceOnly.fuzzOnceOnly(RUNS_COUNT, SEED), null);
});
