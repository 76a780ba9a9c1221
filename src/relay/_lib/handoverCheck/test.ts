import tap from "tap";

import * as handoverChecks from "./index.js";

tap.test("a handover is decided once for each engine, and again after a time", async (t) => {
  const check = new handoverChecks.HandoverCheck();
  t.ok(check.isDue("e1", 0));
  t.notOk(check.isDue("e1", 10_000));
  check.recheckAfter(10_000, 0);
  t.notOk(check.isDue("e1", 10_100));
  t.ok(check.isDue("e1", 10_200), "the run has produced more than expected");
  t.notOk(check.isDue("e1", 20_000));
  t.ok(check.isDue("e2", 20_000), "its next engine leaves too");
});
