import tap from "tap";

import * as types from "../types.js";
import * as suspectLists from "./index.js";

const { SuspectKind } = types;

tap.test(
  "the request and the parts of its prompt but the last are suspects, each once",
  async (t) => {
    t.same(suspectLists.listSuspects("s", "f1", ["a", "b", "a", "own"]), [
      { kind: SuspectKind.Request, key: "s/f1" },
      { kind: SuspectKind.PromptPart, key: "s/a" },
      { kind: SuspectKind.PromptPart, key: "s/b" },
    ]);
    t.same(suspectLists.listSuspects("s", "f1", []), [{ kind: SuspectKind.Request, key: "s/f1" }]);
  },
);

tap.test("long ids give keys of bounded length that differ", async (t) => {
  const ids = ["x".repeat(10_000), "x".repeat(10_001), "own"];
  const [, first, second] = suspectLists.listSuspects("s", "f1", ids);
  t.not(first?.key, second?.key);
  t.ok((first?.key.length ?? Infinity) < 200, "fits a message between VMs");
});
