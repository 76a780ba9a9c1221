import tap from "tap";

import * as streamFollower from "./index.js";

const RUNS = 100;
const SEED = 20_261_203;

tap.test("no order of deliveries moves an offset back or makes two states of one", async (t) => {
  t.equal(await streamFollower.fuzzStreamFollower(RUNS, SEED), null);
});
