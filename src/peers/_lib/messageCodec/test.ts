import * as fc from "fast-check";
import tap from "tap";

import * as messageCodec from "./index.js";

const PREFIX_BYTES = 4;

function roundTrip(frame: Buffer): unknown {
  return messageCodec.decodeMessage(frame.subarray(PREFIX_BYTES))._unsafeUnwrap();
}

const plainValues = fc.jsonValue({ maxDepth: 3 });

tap.test(
  "requests, notifications and error responses are decoded as they were encoded",
  async (t) => {
    t.same(roundTrip(messageCodec.encodeRequest(7, "m", { a: [1, "x"] })), {
      jsonrpc: "2.0",
      id: 7,
      method: "m",
      params: { a: [1, "x"] },
    });
    t.same(roundTrip(messageCodec.encodeNotification("m", null)), {
      jsonrpc: "2.0",
      method: "m",
      params: null,
    });
    const failure = { code: -1, message: "no", data: { step: "s" } };
    t.same(roundTrip(messageCodec.encodeResponse({ jsonrpc: "2.0", id: 7, error: failure })), {
      jsonrpc: "2.0",
      id: 7,
      error: failure,
    });
  },
);

tap.test("any plain value is decoded as it was encoded", async (t) => {
  fc.assert(
    fc.property(plainValues, (value) => {
      const sent = JSON.parse(JSON.stringify(value)) as unknown;
      const received = messageCodec.decodeValue(messageCodec.encodeValue(sent))._unsafeUnwrap();
      return JSON.stringify(received) === JSON.stringify(sent);
    }),
    { seed: 63, numRuns: 500, examples: [[{ nested: { large: 2 ** 40 } }]] },
  );
  t.pass();
});

tap.test(
  "byte arrays are decoded as byte arrays that do not share memory with the frame",
  async (t) => {
    const frame = messageCodec.encodeNotification("m", { body: new Uint8Array([1, 2, 3]) });
    const message = roundTrip(frame) as { params: { body: Uint8Array } };
    frame.fill(0);
    t.same([...message.params.body], [1, 2, 3]);
  },
);

tap.test("a frame that is not a valid message is an error with the step peer.decode", async (t) => {
  const values = [null, 5, [], [9, "m"], [0, "id", "m", {}], [1, 5], [2], [3, 1, "code", "m"]];
  for (const value of values) {
    const decoded = messageCodec.decodeMessage(messageCodec.encodeValue(value));
    t.equal(decoded._unsafeUnwrapErr().step, "peer.decode", JSON.stringify(value));
  }
});

tap.test(
  "a valid frame with one changed byte decodes to a message or an error, and never throws",
  async (t) => {
    const body = messageCodec.encodeRequest(3, "method", { list: [1, 2], text: "abc" });
    fc.assert(
      fc.property(fc.nat(body.length - 5), fc.nat(255), (position, byte) => {
        const changed = Buffer.from(body.subarray(PREFIX_BYTES));
        changed[position] = byte;
        messageCodec.decodeMessage(changed);
      }),
      { seed: 64, numRuns: 3_000 },
    );
    t.pass();
  },
);
