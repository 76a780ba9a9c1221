import tap from "tap";

import * as canEndBeforeCloses from "./index.js";

const CALL = {
  isGeneration: false,
  timeoutMs: 20_000,
  objectiveMs: 400,
  slowestMs: 500,
  isEnough: true,
  timeToCloseMs: 7_600,
};

const canEnd = (changes: Partial<typeof CALL>): boolean => {
  const { slowestMs, isEnough, ...call } = { ...CALL, ...changes };
  return canEndBeforeCloses.canEndBeforeClose({ ...call, recent: { slowestMs, isEnough } });
};

/** A route without any recent call. */
const UNKNOWN = { slowestMs: 0, isEnough: false };

// Guards against calls that a stopping VM takes late, and then answers with 504 or cuts off.
tap.test("a stopping VM takes a call if also a slow one of its route would end", (t) => {
  t.ok(canEnd({}));
  t.ok(canEnd({ slowestMs: 3_000 }));
  t.notOk(canEnd({ slowestMs: 3_000, timeToCloseMs: 5_000 }), "not late in the grace period");
  t.notOk(canEnd({ slowestMs: 6_000 }), "not at its start either, if calls take that long");
  t.notOk(canEnd({ slowestMs: 1, timeToCloseMs: 1_500 }), "a bound for what is new");
  t.end();
});

// Guards against calls of rarely used routes that are refused early, or taken late and answered with 504.
tap.test("without enough calls, a multiple of the objective has to be left", (t) => {
  t.ok(canEnd(UNKNOWN), "early in the grace period");
  t.notOk(canEnd({ ...UNKNOWN, timeToCloseMs: 3_100 }), "what is not known may take long");
  t.ok(canEnd({ timeToCloseMs: 3_100 }), "it would end if more were known");
  t.notOk(canEnd({ ...UNKNOWN, objectiveMs: 2_000 }), "nor early, if its answer may take long");
  t.notOk(canEnd({ slowestMs: 2_000, isEnough: false }), "the few that are known count, too");
  t.end();
});

tap.test("the timeout of a route ends its calls, too", (t) => {
  t.ok(canEnd({ timeoutMs: 200, ...UNKNOWN, objectiveMs: 5_000 }));
  t.ok(canEnd({ timeoutMs: 200, ...UNKNOWN, objectiveMs: 5_000, timeToCloseMs: 500 }));
  t.notOk(canEnd({ timeoutMs: 200, timeToCloseMs: 200 }), "its answer has to be sent, too");
  t.end();
});

tap.test("the times of other generations say nothing of a new one", (t) => {
  t.notOk(canEnd({ isGeneration: true, slowestMs: 1 }));
  t.ok(canEnd({ isGeneration: true, timeoutMs: 3_000 }));
  t.end();
});
