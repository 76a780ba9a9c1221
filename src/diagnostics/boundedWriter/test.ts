import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as diagnostics from "../index.js";

const { Importance } = diagnostics;
const LIMITS: diagnostics.WriterLimits = { maxQueuedBytes: 1_000, maxLinesPerSecond: 10 };

class SlowReader {
  readonly written: string[] = [];
  private pending: ((error: Error | null) => void) | null = null;

  readonly write: diagnostics.WriteBytes = (bytes, done) => {
    this.written.push(bytes.toString());
    this.pending = done;
  };

  /** Lets the pending write end. */
  release(error: Error | null = null): void {
    const done = this.pending;
    this.pending = null;
    done?.(error);
  }
}

function setUp(): {
  readonly clock: virtualClocks.VirtualClock;
  readonly reader: SlowReader;
  readonly writer: diagnostics.BoundedWriter;
} {
  const clock = new virtualClocks.VirtualClock();
  const reader = new SlowReader();
  const writer = new diagnostics.BoundedWriter(reader.write, clock, LIMITS);
  return { clock, reader, writer };
}

tap.test("lines are passed on in order, those that wait together", async (t) => {
  const { reader, writer } = setUp();
  for (const line of ["1\n", "2\n", "3\n"]) writer.push(line, Importance.Belief);
  t.same(reader.written, ["1\n"]);
  reader.release();
  t.same(reader.written, ["1\n", "2\n3\n"]);
});

tap.test("a reader who never reads holds nothing up, and memory stays bounded", async (t) => {
  const { clock, reader, writer } = setUp();
  const line = `${"x".repeat(99)}\n`;
  for (let index = 0; index < 500; index += 1) {
    writer.push(line, Importance.Belief);
    await clock.runForMs(200);
  }
  t.equal(reader.written.length, 1);
  t.equal(writer.takeDroppedCount(), 500 - LIMITS.maxQueuedBytes / line.length);
  t.equal(writer.takeDroppedCount(), 0, "what was told is not told again");
});

tap.test("under pressure ordinary lines go first and changes of belief last", async (t) => {
  const { writer } = setUp();
  const countTaken = (importance: diagnostics.Importance): number => {
    let count = 0;
    while (writer.push("line\n", importance)) count += 1;
    return count;
  };
  const routineCount = countTaken(Importance.Routine);
  const notableCount = countTaken(Importance.Notable);
  const beliefCount = countTaken(Importance.Belief);
  t.ok(routineCount > 0 && notableCount > 0 && beliefCount > 0);
  t.equal(routineCount + notableCount + beliefCount, 40, "four seconds' worth of lines");
});

tap.test("an output that fails is told in the count of dropped lines", async (t) => {
  const { reader, writer } = setUp();
  writer.push("1\n", Importance.Belief);
  reader.release(new Error("closed"));
  t.equal(writer.takeDroppedCount(), 1);
  t.ok(writer.push("2\n", Importance.Belief), "later lines are tried again");
});
