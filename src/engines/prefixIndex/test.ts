import tap from "tap";

import type * as backends from "../../backends/types.js";
import * as prefixIndexes from "./index.js";

function event(
  sequence: number,
  kind: backends.CacheEvent["kind"],
  prefixHash: string,
): backends.CacheEvent {
  return { sequence, kind, prefixHash, tokens: 16 };
}

tap.test("a prefix that was just stored counts as cached", (t) => {
  const index = new prefixIndexes.PrefixIndex();
  index.onEvents("e1", [event(1, "stored", "a"), event(2, "stored", "b")], 1_000);
  t.equal(index.likelihoodOf("e1", ["a", "b"], 1_000), 1);
  t.equal(
    index.likelihoodOf("e1", ["a", "x", "b"], 1_000),
    1 / 3,
    "blocks after a missing one do not count",
  );
  t.equal(index.likelihoodOf("e2", ["a"], 1_000), 0);
  t.end();
});

tap.test("the likelihood decreases with age and with lost events", (t) => {
  const index = new prefixIndexes.PrefixIndex();
  index.onEvents("e1", [event(1, "stored", "a")], 0);
  const young = index.likelihoodOf("e1", ["a"], 1_000);
  t.ok(index.likelihoodOf("e1", ["a"], 120_000) < young / 3);
  index.onEvents("e1", [event(90, "stored", "z")], 1_000);
  t.ok(index.likelihoodOf("e1", ["a"], 1_000) < young);
  t.end();
});

tap.test("evicted and cleared prefixes do not count, and old events are ignored", (t) => {
  const index = new prefixIndexes.PrefixIndex();
  index.onEvents("e1", [event(1, "stored", "a"), event(2, "evicted", "a")], 0);
  t.equal(index.likelihoodOf("e1", ["a"], 0), 0);
  index.onEvents("e1", [event(1, "stored", "a")], 0);
  t.equal(index.likelihoodOf("e1", ["a"], 0), 0, "a repeated event is ignored");
  index.onDispatched("e1", ["b"], 0);
  index.onEvents("e1", [event(3, "cleared", "")], 0);
  t.equal(index.likelihoodOf("e1", ["b"], 0), 0);
  t.end();
});
