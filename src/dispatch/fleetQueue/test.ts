import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as constants from "../constants.js";
import * as dispatch from "../index.js";

function setUp(): { clock: virtualClocks.VirtualClock; queue: dispatch.FleetQueue } {
  const clock = new virtualClocks.VirtualClock();
  return { clock, queue: new dispatch.FleetQueue(clock) };
}

function idsOf(queue: dispatch.FleetQueue, serviceName = "s"): readonly string[] {
  return queue.listByService(serviceName).map(({ requestId }) => requestId);
}

tap.test("generations of other VMs are listed by service until they are removed", async (t) => {
  const { queue } = setUp();
  queue.put(fixtures.waiting({ requestId: "r1" }));
  queue.put(fixtures.waiting({ requestId: "r2", serviceName: "other" }));
  t.same(idsOf(queue), ["r1"]);
  queue.remove("r1");
  t.same(idsOf(queue), []);
  t.equal(queue.waitingCount, 1);
});

tap.test(
  "a generation that does not use its allocated capacity is excluded from allocation",
  async (t) => {
    const { clock, queue } = setUp();
    queue.put(fixtures.waiting({ requestId: "r1" }));
    queue.recordAllocation("r1", true);
    await clock.runForMs(constants.UNUSED_ALLOCATION_TIMEOUT_MS - 1);
    queue.recordAllocation("r1", true);
    t.same(idsOf(queue), ["r1"]);
    await clock.runForMs(1);
    t.same(idsOf(queue), []);
    queue.put(fixtures.waiting({ requestId: "r1" }));
    t.same(idsOf(queue), [], "a refresh does not include it again");
  },
);

tap.test("a generation whose allocation was withdrawn stays in the queue", async (t) => {
  const { clock, queue } = setUp();
  queue.put(fixtures.waiting({ requestId: "r1" }));
  queue.recordAllocation("r1", true);
  queue.recordAllocation("r1", false);
  await clock.runForMs(10 * constants.UNUSED_ALLOCATION_TIMEOUT_MS);
  t.same(idsOf(queue), ["r1"]);
});

tap.test(
  "generations of an unavailable VM and generations without refresh are removed",
  async (t) => {
    const { clock, queue } = setUp();
    queue.put(fixtures.waiting({ requestId: "r1", vmName: "vm-2" }));
    queue.put(fixtures.waiting({ requestId: "r2", vmName: "vm-3" }));
    queue.dropVm("vm-2");
    t.same(idsOf(queue), ["r2"]);
    await clock.runForMs(1_001);
    queue.dropStale(1_000);
    t.same(idsOf(queue), []);
  },
);
