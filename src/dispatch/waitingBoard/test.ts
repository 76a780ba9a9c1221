import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as constants from "../constants.js";
import * as dispatch from "../index.js";

function setUp(): { clock: virtualClocks.VirtualClock; board: dispatch.WaitingBoard } {
  const clock = new virtualClocks.VirtualClock();
  return { clock, board: new dispatch.WaitingBoard(clock) };
}

function idsOf(board: dispatch.WaitingBoard, serviceName = "s"): readonly string[] {
  return board.ofService(serviceName).map(({ requestId }) => requestId);
}

tap.test("what waits at other VMs is known by service, until it waits no more", async (t) => {
  const { board } = setUp();
  board.put(fixtures.waiting({ requestId: "r1" }));
  board.put(fixtures.waiting({ requestId: "r2", serviceName: "other" }));
  t.same(idsOf(board), ["r1"]);
  board.remove("r1");
  t.same(idsOf(board), []);
  t.equal(board.waitingCount, 1);
});

tap.test("room that is not taken is lost to the next, and the place with it", async (t) => {
  const { clock, board } = setUp();
  board.put(fixtures.waiting({ requestId: "r1" }));
  board.noteAllotment("r1", true);
  await clock.runForMs(constants.UNTAKEN_ROOM_MS - 1);
  board.noteAllotment("r1", true);
  t.same(idsOf(board), ["r1"]);
  await clock.runForMs(1);
  t.same(idsOf(board), []);
  board.put(fixtures.waiting({ requestId: "r1" }));
  t.same(idsOf(board), [], "being told of again does not bring it back");
});

tap.test("a generation whose room was gone again keeps its place", async (t) => {
  const { clock, board } = setUp();
  board.put(fixtures.waiting({ requestId: "r1" }));
  board.noteAllotment("r1", true);
  board.noteAllotment("r1", false);
  await clock.runForMs(10 * constants.UNTAKEN_ROOM_MS);
  t.same(idsOf(board), ["r1"]);
});

tap.test("nothing stays of a VM that is gone, or whose word got lost", async (t) => {
  const { clock, board } = setUp();
  board.put(fixtures.waiting({ requestId: "r1", vmName: "vm-2" }));
  board.put(fixtures.waiting({ requestId: "r2", vmName: "vm-3" }));
  board.dropVm("vm-2");
  t.same(idsOf(board), ["r2"]);
  await clock.runForMs(1_001);
  board.dropStale(1_000);
  t.same(idsOf(board), []);
});
