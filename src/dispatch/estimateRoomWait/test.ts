import tap from "tap";

import * as dispatch from "../index.js";

const outlook: dispatch.RoomOutlook = {
  aheadTokens: 6_000,
  neededTokens: 4_000,
  freeTokens: 2_000,
  releaseTokensPerMs: 2,
};

tap.test("the wait is what is missing over what is given back", async (t) => {
  t.equal(dispatch.estimateRoomWait(outlook), 4_000);
});

tap.test("with room there is no wait", async (t) => {
  t.equal(dispatch.estimateRoomWait({ ...outlook, freeTokens: 20_000 }), 0);
});

tap.test("where nothing is given back, no time can be told", async (t) => {
  t.equal(dispatch.estimateRoomWait({ ...outlook, releaseTokensPerMs: 0 }), Infinity);
});
