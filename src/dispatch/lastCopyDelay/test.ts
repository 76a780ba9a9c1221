import tap from "tap";

import * as constants from "../constants.js";
import * as dispatch from "../index.js";

tap.test("the last copy waits for the first ones of the engine's other runs", async (t) => {
  const oneRunMs = dispatch.lastCopyDelayMs(3_500);
  const threeRunsMs = dispatch.lastCopyDelayMs(3 * 3_500);
  t.ok(threeRunsMs > 2.9 * oneRunMs);
});

tap.test("it never waits until the engine may be gone", async (t) => {
  t.equal(dispatch.lastCopyDelayMs(1_000_000), constants.LAST_COPY_LIMIT_MS);
});
