import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as diagnostics from "../index.js";

const { Importance } = diagnostics;
const LIMITS: diagnostics.WriterLimits = { maxQueuedBytes: 1_000, maxLinesPerSecond: 10 };

/** A reader that completes a write only when told to by `release`. */
class SlowReader {
  readonly written: string[] = [];
  private pending: ((error: Error | null) => void) | null = null;

  readonly write: diagnostics.WriteBytes = (bytes, done) => {
    this.written.push(bytes.toString());
    this.pending = done;
  };

  /** Completes the pending write. */
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

tap.test("lines are written in order, and queued lines in one write", async (t) => {
  const { reader, writer } = setUp();
  for (const line of ["1\n", "2\n", "3\n"]) writer.push(line, Importance.StateChange);
  t.same(reader.written, ["1\n"]);
  reader.release();
  t.same(reader.written, ["1\n", "2\n3\n"]);
});

tap.test(
  "a reader that never reads does not block the writer, and the queue stays bounded",
  async (t) => {
    const { clock, reader, writer } = setUp();
    const line = `${"x".repeat(99)}\n`;
    for (let index = 0; index < 500; index += 1) {
      writer.push(line, Importance.StateChange);
      await clock.runForMs(200);
    }
    t.equal(reader.written.length, 1);
    t.equal(writer.takeDroppedCount(), 500 - LIMITS.maxQueuedBytes / line.length);
    t.equal(writer.takeDroppedCount(), 0, "reported lines are not reported again");
  },
);

tap.test("at the rate limit, routine lines are dropped first and state changes last", async (t) => {
  const { writer } = setUp();
  const countAccepted = (importance: diagnostics.Importance): number => {
    let count = 0;
    while (writer.push("line\n", importance)) count += 1;
    return count;
  };
  const routineLinesCount = countAccepted(Importance.Routine);
  const notableLinesCount = countAccepted(Importance.Notable);
  const stateChangesCount = countAccepted(Importance.StateChange);
  t.ok(routineLinesCount > 0 && notableLinesCount > 0 && stateChangesCount > 0);
  t.equal(
    routineLinesCount + notableLinesCount + stateChangesCount,
    40,
    "four seconds' worth of lines",
  );
});

tap.test("a failed write is counted as a dropped line", async (t) => {
  const { reader, writer } = setUp();
  writer.push("1\n", Importance.StateChange);
  reader.release(new Error("closed"));
  t.equal(writer.takeDroppedCount(), 1);
  t.ok(writer.push("2\n", Importance.StateChange), "later lines are accepted");
});
