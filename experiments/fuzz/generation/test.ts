import * as fastCheck from "fast-check";
import tap from "tap";

import * as generation from "./index.js";

const SEED = 20_261_203;
const RUNS_COUNT = 20;

tap.test("random orders of faults lose, repeat and splice no token", async (t) => {
  const property = fastCheck.asyncProperty(generation.runs, async (run) => {
    const problems = await generation.play(run);
    if (problems.length > 0) throw new Error(problems.join("\n"));
  });
  await fastCheck.assert(property, { seed: SEED, numRuns: RUNS_COUNT });
  t.pass(`${RUNS_COUNT} runs`);
});
