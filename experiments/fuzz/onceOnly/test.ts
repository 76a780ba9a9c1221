import tap from "tap";

import * as onceOnly from "./index.js";

const RUNS = 300;
const SEED = 20_261_203;

tap.test("no order of faults runs a key twice or breaks its answers", async (t) => {
  t.equal(await onceOnly.fuzzOnceOnly(RUNS, SEED), null);
});
