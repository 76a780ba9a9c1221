import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

tap.test("the prefill backlog and the slowness of an engine delay the first event", async (t) => {
  const idleMs = dispatch.estimateFirstEvent(fixtures.need(), fixtures.engine());
  const behindMs = dispatch.estimateFirstEvent(
    fixtures.need(),
    fixtures.engine({ backlogTokens: 3_000 }),
  );
  const slowMs = dispatch.estimateFirstEvent(
    fixtures.need(),
    fixtures.engine({ slownessRatio: 3 }),
  );
  t.ok(behindMs > 1.8 * idleMs);
  t.ok(slowMs > 2.5 * idleMs);
});

tap.test("a cold engine delays the first event", async (t) => {
  const need = fixtures.need();
  const coldMs = dispatch.estimateFirstEvent(need, fixtures.engine({ coldRemainingMs: 200 }));
  t.ok(coldMs > dispatch.estimateFirstEvent(need, fixtures.engine()));
});
