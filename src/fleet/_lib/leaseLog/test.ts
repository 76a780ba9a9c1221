import * as neverthrow from "neverthrow";
import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as appendBudgets from "../../../controlPlane/appendBudget/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as counters from "../../../../standins/telemetry/counters/index.js";
import * as leaseLogs from "./index.js";

// Guards against a lease that looks free, as a read that returned nothing counted as having caught up.
tap.test("a lease log that gets none of the log's records has not caught up", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const endOffset = 3;
  let firstOffset = 0;
  const log: platform.LogService = {
    append: () => Promise.reject(new Error("not expected")),
    read: () => Promise.resolve(neverthrow.ok({ records: [], firstOffset, endOffset })),
  };
  const budget = new appendBudgets.AppendBudget(clock, () => 1);
  const leaseLog = new leaseLogs.LeaseLog(log, budget, clock, new counters.CounterModel());
  t.match((await leaseLog.catchUp())._unsafeUnwrapErr().message, "but the log ends at 3");
  firstOffset = 3;
  t.ok((await leaseLog.catchUp()).isOk(), "records that are no longer retained are not missing");
});
