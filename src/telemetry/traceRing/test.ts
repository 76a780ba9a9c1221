import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as traceRings from "./index.js";

tap.test("trace events are returned in order, with wall time and VM", (t) => {
  const clock = new virtualClocks.VirtualClock(1_000);
  const ring = new traceRings.TraceRing("vm-1", clock);
  ring.record("r1", { step: "admission", reason: "capacity for 300 tokens" });
  clock.advanceToMs(5);
  ring.record("r1", { step: "dispatch", reason: "chosen", backend: "engine-1" });
  t.same(ring.trace("r1"), [
    { atWallMs: 1_000, vm: "vm-1", step: "admission", reason: "capacity for 300 tokens" },
    { atWallMs: 1_005, vm: "vm-1", step: "dispatch", reason: "chosen", backend: "engine-1" },
  ]);
  t.end();
});

tap.test("the trace of the oldest request is evicted first", (t) => {
  const ring = new traceRings.TraceRing("vm-1", new virtualClocks.VirtualClock(), 2);
  for (const id of ["r1", "r2", "r3"]) ring.record(id, { step: "s", reason: "r" });
  t.equal(ring.trace("r1").length, 0);
  t.equal(ring.trace("r3").length, 1);
  t.end();
});

tap.test("a trace above the limit keeps its first and last events", (t) => {
  const ring = new traceRings.TraceRing("vm-1", new virtualClocks.VirtualClock());
  for (let index = 0; index < 500; index += 1) {
    ring.record("r1", { step: "s", reason: "r", offset: index });
  }
  const events = ring.trace("r1");
  t.equal(events.length, constants.MAX_TRACE_EVENTS_COUNT);
  t.equal(events[0]?.offset, 0);
  t.equal(events.at(-1)?.offset, 499);
  t.end();
});
