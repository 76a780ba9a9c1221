import tap from "tap";

import * as types from "../types.js";
import * as suspectLists from "./index.js";

const { SuspectKind } = types;

const ONE_SERVICE = { serviceName: "s", routeServiceNames: ["s"] };

tap.test(
  "the request and the parts of its prompt but the last are suspects, each once",
  async (t) => {
    t.same(suspectLists.listSuspects(ONE_SERVICE, "f1", ["a", "b", "a", "own"]), [
      { kind: SuspectKind.Request, key: "s/f1" },
      { kind: SuspectKind.PromptPart, key: "s/a" },
      { kind: SuspectKind.PromptPart, key: "s/b" },
    ]);
    t.same(suspectLists.listSuspects(ONE_SERVICE, "f1", []), [
      { kind: SuspectKind.Request, key: "s/f1" },
    ]);
  },
);

tap.test("long ids give keys of bounded length that differ", async (t) => {
  const ids = ["x".repeat(10_000), "x".repeat(10_001), "own"];
  const [, first, second] = suspectLists.listSuspects(ONE_SERVICE, "f1", ids);
  t.not(first?.key, second?.key);
  t.ok((first?.key.length ?? Infinity) < 200, "fits a message between VMs");
});

tap.test(
  "on a split route the services have suspects in common, and each has its own",
  async (t) => {
    const names = ["new", "old"];
    const [atOld, atNew] = ["old", "new"].map((serviceName, index) => {
      const routeServiceNames = index === 0 ? names : [...names].reverse();
      return suspectLists.listSuspects({ serviceName, routeServiceNames }, "f1", ["a", "own"]);
    });
    const { Request, PromptPart } = SuspectKind;
    t.same(
      atOld?.map(({ kind }) => kind),
      [Request, Request, PromptPart, PromptPart],
    );
    const keysAtNew = new Set(atNew?.map(({ key }) => key));
    const commonKeys = atOld?.map(({ key }) => key).filter((key) => keysAtNew.has(key));
    t.same(commonKeys, [atOld?.[0]?.key, atOld?.[2]?.key]);
    t.same([atOld?.[1]?.key, atOld?.[3]?.key], ["old/f1", "old/a"]);
  },
);
