import tap from "tap";

import * as traces from "./index.js";

tap.test("decisions of several VMs are merged into one timeline, oldest first", (t) => {
  const text = traces.renderTrace([
    { atWallMs: 1_250, vm: "vm-2", step: "engine.died", reason: "stream broke", backend: "e1" },
    { atWallMs: 1_000, vm: "vm-1", step: "accepted", reason: "entry draft" },
    { atWallMs: 1_300, vm: "vm-1", step: "continue", reason: "same model", offset: 812 },
  ]);
  const lines = text.trimEnd().split("\n");
  t.equal(lines[0], "started 1970-01-01T00:00:01.000Z");
  t.match(lines[1], /\+0 ms {2}vm-1 {2}accepted/);
  t.match(lines[2], /\+250 ms {2}vm-2 {2}engine.died.*\[backend e1\]/);
  t.match(lines[3], /offset 812/);
  t.end();
});
