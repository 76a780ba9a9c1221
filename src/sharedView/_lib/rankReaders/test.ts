import tap from "tap";

import * as rankReaders from "./index.js";

function reader(vmName: string, coresCount: number, reachesStore = true): rankReaders.Reader {
  return { vmName, dataCentre: vmName.charAt(0), coresCount, reachesStore };
}

function rank(...readers: rankReaders.Reader[]): readonly string[] {
  return rankReaders.rankReaders(readers).map(({ vmName }) => vmName);
}

tap.test("the largest VM of each data centre reads before the second largest of any", async (t) => {
  const vms = [reader("a1", 2), reader("a2", 2), reader("b1", 2), reader("b2", 1), reader("c1", 1)];
  t.same(rank(...vms), ["a1", "b1", "c1", "a2", "b2"]);
  t.same(
    rank(...vms.reverse()),
    ["a1", "b1", "c1", "a2", "b2"],
    "in whatever order they are known",
  );
});

tap.test("VMs that do not reach the store read last", async (t) => {
  t.same(rank(reader("a1", 2, false), reader("a2", 1), reader("b1", 1)), ["a2", "b1", "a1"]);
});
