import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as constants from "../constants.js";
import * as dispatch from "../index.js";

const near = fixtures.engine({ serverId: "near", committedTokens: 33_000, runningCount: 8 });
const cutOff = fixtures.engine({ serverId: "cut-off", dataCentre: "dc-b", isCutOff: true });

function idsOf(engines: readonly dispatch.EngineCandidate[]): readonly string[] {
  return engines.map(({ serverId }) => serverId);
}

tap.test("behind a cut, a generation waits for engines on this side of it", async (t) => {
  t.same(idsOf(dispatch.reachableEngines([near, cutOff], 0)), ["near"]);
  const choice = dispatch.selectEngine(
    fixtures.need(),
    dispatch.reachableEngines([near, cutOff], 0),
  );
  t.equal(choice, undefined, "the engine on this side is full, the other is not tried");
});

tap.test("one that has waited tries the way again", async (t) => {
  const waitedMs = constants.CUT_OFF_TRIAL_MS;
  t.same(idsOf(dispatch.reachableEngines([near, cutOff], waitedMs)), ["near", "cut-off"]);
});

tap.test("where all seem cut off, all are tried", async (t) => {
  t.same(idsOf(dispatch.reachableEngines([cutOff], 0)), ["cut-off"]);
});
