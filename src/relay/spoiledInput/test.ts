import * as fc from "fast-check";
import tap from "tap";

import * as spoiled from "../../../standins/spoiledValues/index.js";
import * as eventSequences from "../_lib/eventSequence/index.js";
import * as eventSplitters from "../_lib/eventSplitter/index.js";
import * as findHeadFaults from "../_lib/findHeadFault/index.js";
import type * as types from "../types.js";

const ids = fc.oneof(
  fc.constantFrom("1", "2", "3", "9007199254740992", "9".repeat(400), "-1", "1.5", "", "x"),
  spoiled.headerValue,
);
const events = fc.array(
  ids.map((id) => Buffer.from(`id: ${id}\ndata: a\n\n`, "latin1")),
  { maxLength: 6 },
);

/** Streams of events, cut into chunks anywhere and spoiled in a few bytes. */
const streams = fc
  .tuple(
    spoiled.spoilBytes(events.map((parts) => Buffer.concat(parts))),
    fc.array(fc.nat(60), { maxLength: 8 }),
  )
  .map(([content, sizes]) => {
    const chunks: Buffer[] = [];
    let at = 0;
    for (const size of [...sizes, content.length]) {
      chunks.push(content.subarray(at, at + size));
      at += size;
    }
    return chunks;
  });

tap.test("events are passed on byte by byte, in order of consecutive ids", async (t) => {
  const verify = (chunks: readonly Buffer[]): void => {
    const splitter = new eventSplitters.EventSplitter();
    const sequence = new eventSequences.EventSequence(0);
    const parts: Buffer[] = [];
    let forwardedCount = 0;
    for (const event of chunks.flatMap((chunk) => splitter.push(chunk))) {
      parts.push(event.bytes);
      if (event.id !== null && !Number.isFinite(event.id)) throw new Error(`id ${event.id}`);
      if (sequence.accept(event) !== eventSequences.EventOrder.Next) continue;
      forwardedCount += 1;
      t.equal(event.id, forwardedCount);
    }
    const content = Buffer.concat(chunks);
    const split = Buffer.concat(parts);
    if (!content.subarray(0, split.length).equals(split)) throw new Error("other bytes");
    if (splitter.hasIncompleteEvent !== split.length < content.length) throw new Error("a rest");
  };
  await spoiled.check(streams, verify, { seed: 71, runsCount: 2_000 });
});

tap.test("no head passes that cannot be written as that of an answer", async () => {
  const flags = {
    isSigned: fc.boolean(),
    isNotRun: fc.boolean(),
    isMisdirected: fc.boolean(),
    isEncoded: fc.boolean(),
    isWritable: fc.boolean(),
    isLeaving: fc.boolean(),
  };
  const heads = fc.record({
    ...flags,
    status: fc.integer({ min: 0, max: 9_999 }),
    requestId: fc.constantFrom(null, "r1", "r2"),
  });
  const call = { head: { id: "r1" } } as types.Call;
  const verify = (head: { readonly status: number; readonly isWritable: boolean }): boolean => {
    const fault = findHeadFaults.findHeadFault(call, head as types.AnswerHead);
    const isStatus = head.status >= 200 && head.status <= 599;
    return fault !== null || (isStatus && head.isWritable);
  };
  await spoiled.check(heads, verify, { seed: 72, runsCount: 3_000 });
});
