import tap from "tap";

import * as eventDecoders from "./eventDecoder.js";

function eventOf(offset: number, text: string, finishReason: string | null = null): string {
  const data = { choices: [{ index: 0, text, finish_reason: finishReason }] };
  return `id: r:1:${offset}\ndata: ${JSON.stringify(data)}\n\n`;
}

tap.test("contiguous events of one chunk become one frame", (t) => {
  const decoder = new eventDecoders.EventDecoder(0);
  const chunk = eventOf(0, "a") + eventOf(1, "b") + eventOf(2, "c", "stop") + "data: [DONE]\n\n";
  t.same(decoder.push(Buffer.from(chunk)), [
    { offset: 0, tokens: ["a", "b", "c"], finishReason: "stop" },
  ]);
  t.end();
});

tap.test("an event split at any byte, also within a character, is decoded completely", (t) => {
  const bytes = Buffer.from(eventOf(5, " pļava") + eventOf(6, " mežs", "length"));
  for (let splitAt = 0; splitAt <= bytes.length; splitAt += 1) {
    const decoder = new eventDecoders.EventDecoder(0);
    const frames = [
      ...decoder.push(bytes.subarray(0, splitAt)),
      ...decoder.push(bytes.subarray(splitAt)),
    ];
    t.same(
      frames.flatMap((frame) => frame.tokens),
      [" pļava", " mežs"],
      `split at ${splitAt}`,
    );
    t.equal(frames.at(-1)?.finishReason, "length");
  }
  t.end();
});

tap.test("a gap in the offsets starts a new frame", (t) => {
  const decoder = new eventDecoders.EventDecoder(0);
  const frames = decoder.push(Buffer.from(eventOf(0, "a") + eventOf(7, "b")));
  t.match(frames, [{ offset: 0 }, { offset: 7 }]);
  t.end();
});

tap.test("without event ids offsets are counted from the first offset", (t) => {
  const decoder = new eventDecoders.EventDecoder(3);
  const text = (eventOf(0, "a") + eventOf(0, "b")).replace(/id: .*\n/g, "");
  t.match(decoder.push(Buffer.from(text)), [{ offset: 3, tokens: ["a", "b"] }]);
  t.end();
});

tap.test("malformed events cause errors", (t) => {
  const malformed = {
    "not JSON": "data: {\n\n",
    "no choices": 'data: {"a":1}\n\n',
    "an error from the engine": 'data: {"error":{"message":"out of memory"}}\n\n',
    "a text of another type": 'data: {"choices":[{"text":7}]}\n\n',
    "an id without an offset": `id: r:x\ndata: {"choices":[{"text":"a"}]}\n\n`,
  };
  for (const [name, text] of Object.entries(malformed)) {
    const decoder = new eventDecoders.EventDecoder(0);
    t.throws(() => decoder.push(Buffer.from(text)), name);
  }
  t.end();
});
