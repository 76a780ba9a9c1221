import tap from "tap";

import * as types from "../../types.js";
import * as engineStreams from "../engineStream/index.js";
import * as sendRecords from "./index.js";

const { RefusalReason } = types;
const { OpenKind } = engineStreams;

const NOT_RUN = {
  kind: OpenKind.NotRun,
  cause: "full",
  wasSent: true,
} as engineStreams.OpenOutcome;
const UNKNOWN = { kind: OpenKind.Unknown, cause: "reset" } as engineStreams.OpenOutcome;

// Guards against a 503, which promises that nothing has run, after a send that may have run.
tap.test("no refusal says that a call has not run once a send may have run", async (t) => {
  const sends = new sendRecords.SendRecord(new Set());
  sends.record("e1", NOT_RUN);
  for (const reason of Object.values(RefusalReason))
    t.equal(sends.createRefusal(reason, 700).reason, reason, `unsent: ${reason}`);
  sends.record("e2", UNKNOWN);
  sends.record("e3", NOT_RUN);
  for (const reason of Object.values(RefusalReason)) {
    t.not(sends.createRefusal(reason, 700).status, 503, `after a run: ${reason}`);
  }
  t.equal(sends.createRefusal(RefusalReason.TimedOutNotRun).reason, RefusalReason.TimedOut);
  t.equal(sends.createRefusal(RefusalReason.EndsServers, 700).reason, RefusalReason.OutcomeUnknown);
  t.same([...sends.ranIds], ["e2"]);
  t.equal(sends.lastFailure, UNKNOWN, "the last failure is the one that may have run");
});
