import tap from "tap";

import * as dispatch from "../index.js";

function engines(prefix: string, dataCentre: string, count: number): dispatch.LocatedEngine[] {
  return Array.from({ length: count }, (_, index) => {
    return { serverId: `${prefix}-${index}`, dataCentre };
  });
}

tap.test("engines that leave together have targets of their own, in all VMs' views", async (t) => {
  const leaving = [...engines("left-a", "dc-a", 2), ...engines("left-b", "dc-b", 1)];
  const targets = [
    ...engines("a", "dc-a", 8),
    ...engines("b", "dc-b", 9),
    ...engines("c", "dc-c", 9),
  ];
  const seen = new Map<string, string>();
  for (const { serverId, dataCentre } of leaving) {
    const own = dispatch.divideTargets(leaving, targets, serverId);
    const inAnotherOrder = dispatch.divideTargets(leaving, targets.toReversed(), serverId);
    t.same([...own].sort(), [...inAnotherOrder].sort());
    t.ok(
      [...own].some((id) => id.startsWith(dataCentre.slice(3))),
      "some in its data centre",
    );
    for (const id of own) {
      t.notOk(seen.has(id), `${id} belongs to one engine`);
      seen.set(id, serverId);
    }
  }
  t.equal(seen.size, targets.length, "every target is used");
});

tap.test("an engine that leaves alone may use all targets", async (t) => {
  const alone = engines("left", "dc-a", 1);
  const targets = [...engines("a", "dc-a", 3), ...engines("b", "dc-b", 2)];
  t.equal(dispatch.divideTargets(alone, targets, "left-0").size, 5);
  t.equal(dispatch.divideTargets(alone, targets, "unknown").size, 0);
});
