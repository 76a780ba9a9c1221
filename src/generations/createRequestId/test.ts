import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as requestIds from "./index.js";

tap.test("an id contains the hints of owner and standby", (t) => {
  const random = randoms.createRandom(1);
  const wallTimeMs = Date.UTC(2026, 0, 1);
  const id = requestIds.createRequestId({ wallTimeMs, random, ownerVm: "a", standbyVm: "b" });
  t.same(requestIds.parseRequestHints(id), {
    ownerHint: requestIds.computeVmHint("a"),
    standbyHint: requestIds.computeVmHint("b"),
  });
  t.end();
});

tap.test("ids sort by time and differ within a millisecond", (t) => {
  const random = randoms.createRandom(1);
  const idAt = (wallTimeMs: number): string =>
    requestIds.createRequestId({ wallTimeMs, random, ownerVm: "a", standbyVm: null });
  t.ok(idAt(1_000_000) < idAt(2_000_000));
  t.not(idAt(1_000_000), idAt(1_000_000));
  t.end();
});

tap.test("an id of another format has no hints", (t) => {
  t.equal(requestIds.parseRequestHints("request-1"), null);
  t.end();
});
