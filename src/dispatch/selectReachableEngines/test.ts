import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as constants from "../constants.js";
import * as dispatch from "../index.js";

const near = fixtures.engine({ serverId: "near", committedTokens: 33_000, runningCount: 8 });
const partitioned = fixtures.engine({
  serverId: "cut-off",
  dataCentre: "dc-b",
  isPartitioned: true,
});

function idsOf(engines: readonly dispatch.EngineCandidate[]): readonly string[] {
  return engines.map(({ serverId }) => serverId);
}

tap.test("during a partition, a generation waits for engines on its own side", async (t) => {
  t.same(idsOf(dispatch.selectReachableEngines([near, partitioned], 0)), ["near"]);
  const choice = dispatch.selectEngine(
    fixtures.need(),
    dispatch.selectReachableEngines([near, partitioned], 0),
  );
  t.equal(choice, undefined, "the engine on this side is full, and the other one is not used");
});

tap.test("a generation that has waited long enough tries partitioned engines again", async (t) => {
  const waitedMs = constants.PARTITION_RETRY_WAIT_MS;
  t.same(idsOf(dispatch.selectReachableEngines([near, partitioned], waitedMs)), [
    "near",
    "cut-off",
  ]);
});

tap.test("when all engines seem partitioned, all are tried", async (t) => {
  t.same(idsOf(dispatch.selectReachableEngines([partitioned], 0)), ["cut-off"]);
});
