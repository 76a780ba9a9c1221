import * as fastCheck from "fast-check";
import tap, { type Test } from "tap";

import * as constants from "../../constants.js";
import * as eventSplitters from "./index.js";

/** Counts the bytes that Buffers copy or search from now on, until the test ends. */
function countWork(t: Test): () => number {
  let workBytes = 0;
  const concat = Buffer.concat.bind(Buffer);
  const prototype = Buffer.prototype as { copy: unknown; indexOf: unknown };
  const former = { copy: prototype.copy, indexOf: prototype.indexOf };
  type Method = (this: Buffer, ...args: unknown[]) => number;
  Buffer.concat = (list, ...rest) => {
    workBytes += list.reduce((sum, part) => sum + part.length, 0);
    return concat(list, ...rest);
  };
  prototype.copy = function (this: Buffer, ...args: unknown[]): number {
    const copiedBytes = (former.copy as Method).apply(this, args);
    workBytes += copiedBytes;
    return copiedBytes;
  };
  prototype.indexOf = function (this: Buffer, ...args: unknown[]): number {
    workBytes += this.length - Number(args[1] ?? 0);
    return (former.indexOf as Method).apply(this, args);
  };
  t.teardown(() => {
    Buffer.concat = concat;
    Object.assign(prototype, former);
  });
  return () => workBytes;
}

// Guards against a stream that takes the processor by an event in small chunks that has no end.
tap.test("an event in small chunks is copied and searched a few times at most", async (t) => {
  const splitter = new eventSplitters.EventSplitter();
  const workBytes = countWork(t);
  let sentBytes = 0;
  for (; sentBytes + 16 <= constants.MAX_EVENT_BYTES; sentBytes += 16) {
    t.equal(splitter.push(Buffer.alloc(16, "x")).length, 0);
  }
  t.ok(workBytes() <= 6 * sentBytes, `${workBytes()} for ${sentBytes} bytes`);
  t.notOk(splitter.isOverflowing);
  t.equal(splitter.push(Buffer.from("\n\n"))[0]?.bytes.length, sentBytes + 2);
});

tap.test("an incomplete event takes twice its size at most, and nothing after it", async (t) => {
  const splitter = new eventSplitters.EventSplitter();
  t.equal(splitter.heldBytes, 0);
  splitter.push(Buffer.concat([Buffer.alloc(60_000, "x"), Buffer.from("\n\nid: 2")]));
  t.ok(splitter.heldBytes <= 512, "the chunk that began it is not kept");
  for (let sizeBytes = 1_005; sizeBytes < constants.MAX_EVENT_BYTES; sizeBytes += 1_000) {
    splitter.push(Buffer.alloc(1_000, "x"));
    t.ok(splitter.heldBytes <= 2 * sizeBytes && splitter.heldBytes >= sizeBytes);
  }
  t.ok(splitter.hasIncompleteEvent);
  splitter.push(Buffer.from("\n\n"));
  t.equal(splitter.heldBytes, 0);
  t.notOk(splitter.hasIncompleteEvent);
  splitter.push(Buffer.alloc(constants.MAX_EVENT_BYTES + 1, "x"));
  t.ok(splitter.isOverflowing);
  t.equal(splitter.heldBytes, 0);
});

tap.test("random streams give the same events, however they are cut into chunks", async () => {
  const part = fastCheck.constantFrom("\n", "\n\n", "id: 7\n", "data: a", "\r\n", "x".repeat(700));
  fastCheck.assert(
    fastCheck.property(
      fastCheck.array(part, { maxLength: 40 }),
      fastCheck.array(fastCheck.integer({ min: 1, max: 900 }), { minLength: 1, maxLength: 20 }),
      (parts, sizes) => {
        const text = parts.join("");
        const splitter = new eventSplitters.EventSplitter();
        const events: eventSplitters.StreamEvent[] = [];
        for (let at = 0, turn = 0; at < text.length; turn += 1) {
          const size = sizes[turn % sizes.length] ?? 1;
          events.push(...splitter.push(Buffer.from(text.slice(at, at + size))));
          at += size;
        }
        const received = events.map(({ bytes }) => bytes.toString());
        const expected = text.match(/[^]*?\n\n/g) ?? [];
        const hasRest = expected.join("").length < text.length;
        return (
          JSON.stringify(received) === JSON.stringify(expected) &&
          events.every(({ id, bytes }) => (id === 7) === /^id: 7$/m.test(bytes.toString())) &&
          splitter.hasIncompleteEvent === hasRest
        );
      },
    ),
    { seed: 11, numRuns: 2_000 },
  );
});
