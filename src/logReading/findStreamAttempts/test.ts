import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as parseLogLines from "../parseLogLine/index.js";
import type * as types from "../types.js";
import * as streamAttempts from "./index.js";

function parse(texts: readonly string[]): readonly types.LogLine[] {
  return texts.map((text, index) => parseLogLines.parseLogLine(text, index)!);
}

function placed(
  vm: string,
  afterMs: number,
  requestId: string,
  fields: Readonly<Record<string, unknown>>,
): string {
  return fixtures.formatLogLine(vm, afterMs, "request-placed", { requestId, ...fields });
}

tap.test("the requests of one stream are joined, whichever VMs had them", async (t) => {
  const lines = parse([
    placed("vm-2", 900, "r2", { streamKey: "k1", lastEventId: 7 }),
    placed("vm-1", 0, "r1", { streamKey: "k1", lastEventId: 0 }),
    placed("vm-1", 300, "r1", { streamKey: "k1", lastEventId: 4 }),
    placed("vm-1", 100, "r3", { streamKey: "k2", lastEventId: 0 }),
    placed("vm-1", 200, "r4", {}),
  ]);
  for (const id of ["r1", "r2"]) {
    const attempts = streamAttempts.findStreamAttempts(lines, id);
    t.match(attempts, [
      { requestId: "r1", vmName: "vm-1", lastEventId: 0 },
      { requestId: "r2", vmName: "vm-2", lastEventId: 7 },
    ]);
    t.equal(attempts.length, 2, "a run on a second engine is no request of the caller");
  }
  t.same(streamAttempts.findStreamAttempts(lines, "r4"), []);
});
