import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as dispatch from "../index.js";

/** Counts the positions that fall into each quarter of the range. */
function countQuarters(positions: readonly number[]): readonly number[] {
  return [0, 1, 2, 3].map(
    (quarter) => positions.filter((position) => Math.floor(4 * position) === quarter).length,
  );
}

tap.test("VMs that send one call each at a moment divide the range evenly", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const positions = Array.from({ length: 60 }, (_, rank) =>
    new dispatch.SpreadSequence(clock, () => ({ rank, vmsCount: 60 }), 0.3).peek("s"),
  );
  for (const count of countQuarters(positions)) t.ok(count >= 14 && count <= 16, `${count}`);
});

tap.test("the calls of one VM divide the range, in a burst and one by one", async (t) => {
  for (const pauseMs of [0, 150]) {
    const clock = new virtualClocks.VirtualClock();
    const sequence = new dispatch.SpreadSequence(clock, () => ({ rank: 0, vmsCount: 1 }), 0.3);
    const positions: number[] = [];
    for (let index = 0; index < 400; index += 1) {
      positions.push(sequence.peek("s"));
      sequence.advance("s");
      await clock.runForMs(pauseMs);
    }
    for (const count of countQuarters(positions)) t.ok(count > 80 && count < 120, `${count}`);
  }
});

tap.test("VMs that hear nobody start at different positions", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const alone = (random: number): dispatch.SpreadSequence =>
    new dispatch.SpreadSequence(clock, () => ({ rank: 0, vmsCount: 1 }), random);
  t.not(alone(0.2).peek("s"), alone(0.7).peek("s"));
});
