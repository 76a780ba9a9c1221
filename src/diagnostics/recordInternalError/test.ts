import tap from "tap";

import * as metersModule from "../meters/index.js";
import * as types from "../types.js";
import * as internalErrors from "./index.js";

tap.test("an unexpected error is counted, and logged with its stack and fields", async (t) => {
  const lines: types.LogFields[] = [];
  const meters = new metersModule.Meters();
  const log: types.DecisionLog = {
    record: (importance, event, fields) => {
      t.equal(importance, types.Importance.StateChange);
      t.equal(event, types.LogEvent.InternalError);
      lines.push(fields);
    },
  };
  const { Request } = internalErrors.ErrorOrigin;
  internalErrors.recordInternalError({ log, meters }, Request, new RangeError("status 0"), {
    requestId: "a1",
  });
  internalErrors.recordInternalError({ log, meters }, Request, "x".repeat(10_000));
  t.match(lines[0], { origin: "request", requestId: "a1", error: /RangeError: status 0\n\s+at / });
  t.ok(String(lines[1]?.error).length <= 2_000, "a line has a bounded length");
  t.match(await meters.text(), /chiveferry_internal_errors_total\{origin="request"\} 2/);
});
