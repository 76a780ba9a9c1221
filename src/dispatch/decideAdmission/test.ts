import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as constants from "../constants.js";
import * as dispatch from "../index.js";

tap.test("a generation that can be served completely in time waits", async (t) => {
  const request = { expectedWaitMs: 4_000, expectedRunMs: 10_000, timeLeftMs: 20_000 };
  t.equal(dispatch.decideAdmission(request), dispatch.Admission.Wait);
});

tap.test("a generation that cannot be served in time is refused at once", async (t) => {
  const request = { expectedWaitMs: 12_000, expectedRunMs: 10_000, timeLeftMs: 20_000 };
  t.equal(dispatch.decideAdmission(request), dispatch.Admission.Refuse);
});

tap.test("retry delays are spread between one and two expected waits", async (t) => {
  const random = randoms.createRandom(3);
  const times = Array.from({ length: 200 }, () => dispatch.computeRetryAfterMs(2_000, random));
  t.ok(Math.min(...times) >= 2_000);
  t.ok(Math.max(...times) <= 4_000);
  const early = times.filter((timeMs) => timeMs < 3_000).length;
  t.ok(early > 70 && early < 130, `${early} of 200 in the first half`);
});

tap.test("the retry delay has a lower and an upper bound", async (t) => {
  const random = randoms.createRandom(3);
  t.ok(dispatch.computeRetryAfterMs(0, random) >= constants.MIN_RETRY_AFTER_MS);
  t.ok(dispatch.computeRetryAfterMs(Infinity, random) <= 2 * constants.MAX_RETRY_AFTER_MS);
});
