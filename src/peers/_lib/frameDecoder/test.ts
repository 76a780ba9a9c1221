import * as fc from "fast-check";
import tap from "tap";

import * as messageCodec from "../messageCodec/index.js";
import * as decoders from "./index.js";

const MAX_FRAME_BYTES = 512;

function splitAt(bytes: Buffer, sizes: readonly number[]): Buffer[] {
  const chunks: Buffer[] = [];
  let position = 0;
  for (const size of sizes) {
    chunks.push(bytes.subarray(position, position + size));
    position += size;
  }
  chunks.push(bytes.subarray(position));
  return chunks;
}

tap.test(
  "frames are decoded whole and in order, however the byte stream is split into chunks",
  async (t) => {
    const bodies = fc.array(fc.uint8Array({ maxLength: 64 }), { maxLength: 12 });
    const sizes = fc.array(fc.integer({ min: 0, max: 40 }), { maxLength: 20 });
    fc.assert(
      fc.property(bodies, sizes, (sentBodies, chunkSizes) => {
        const sent = sentBodies.map((body) => Buffer.from(body));
        const stream = Buffer.concat(sent.map((body) => messageCodec.encodeFrame(body)));
        const decoder = new decoders.FrameDecoder(MAX_FRAME_BYTES);
        const received = splitAt(stream, chunkSizes).flatMap((chunk) =>
          decoder.push(chunk).unwrapOr([]),
        );
        return (
          Buffer.concat(received).equals(Buffer.concat(sent)) && received.length === sent.length
        );
      }),
      { seed: 61, numRuns: 500 },
    );
    t.pass();
  },
);

tap.test(
  "a frame over the limit is an error as soon as its length prefix is received",
  async (t) => {
    const decoder = new decoders.FrameDecoder(MAX_FRAME_BYTES);
    const prefix = Buffer.alloc(4);
    prefix.writeUInt32BE(MAX_FRAME_BYTES + 1);
    t.ok(decoder.push(prefix).isErr());
  },
);

tap.test("arbitrary bytes decode to frames or an error, and never throw", async (t) => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 8 }), (chunks) => {
      const decoder = new decoders.FrameDecoder(MAX_FRAME_BYTES);
      for (const chunk of chunks) {
        const frames = decoder.push(Buffer.from(chunk));
        if (frames.isErr()) return;
        for (const frame of frames.value) messageCodec.decodeMessage(frame);
      }
    }),
    { seed: 62, numRuns: 2_000 },
  );
  t.pass();
});
