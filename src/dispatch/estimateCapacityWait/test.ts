import tap from "tap";

import * as dispatch from "../index.js";

const forecast: dispatch.CapacityForecast = {
  aheadTokens: 6_000,
  neededTokens: 4_000,
  freeTokens: 2_000,
  releaseTokensPerMs: 2,
};

tap.test("the wait is the missing memory divided by the release rate", async (t) => {
  t.equal(dispatch.estimateCapacityWait(forecast), 4_000);
});

tap.test("there is no wait when enough memory is free", async (t) => {
  t.equal(dispatch.estimateCapacityWait({ ...forecast, freeTokens: 20_000 }), 0);
});

tap.test("the wait is infinite when no memory is released", async (t) => {
  t.equal(dispatch.estimateCapacityWait({ ...forecast, releaseTokensPerMs: 0 }), Infinity);
});
