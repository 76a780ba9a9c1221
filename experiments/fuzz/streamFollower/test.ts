import tap from "tap";

import * as streamFollower from "./index.js";

const RUNS_COUNT = 100;
const SEED = 20_261_203;

tap.test("under random deliveries, offsets never decrease and states never diverge", async (t) => {
  t.equal(await streamFollower.fuzzStreamFollower(RUNS_COUNT, SEED), null);
});
