import tap from "tap";

import * as backends from "../../backends/types.js";
import * as events from "./index.js";

const HEAD = { requestId: "r1", entryName: "draft" };

tap.test("each token is a separate event whose id is the request id and the offset", (t) => {
  const text = events.formatFrame(HEAD, {
    requestId: "r1",
    attempt: 1,
    offset: 7,
    tokens: [" a", ' "b"'],
    finishReason: null,
  });
  t.same(text.match(/^id: .*$/gm), ["id: r1:7", "id: r1:8"]);
  const bodies = text.match(/^data: .*$/gm) ?? [];
  const last = JSON.parse(bodies[1]?.slice(6) ?? "") as { choices: { text: string }[] };
  t.equal(last.choices[0]?.text, ' "b"');
  t.end();
});

tap.test("the last token's event has the finish reason, and the done event follows", (t) => {
  const frame = { requestId: "r1", attempt: 1, offset: 0, tokens: [" a"] };
  const text = events.formatFrame(HEAD, { ...frame, finishReason: backends.FinishReason.Stop });
  t.match(text, '"finish_reason":"stop"');
  t.ok(text.endsWith(events.DONE_EVENT));
  t.end();
});

tap.test("a final frame without tokens has no event id", (t) => {
  const frame = { requestId: "r1", attempt: 1, offset: 3, tokens: [] };
  const text = events.formatFrame(HEAD, { ...frame, finishReason: backends.FinishReason.Length });
  t.notMatch(text, "id: r1");
  t.match(text, '"finish_reason":"length"');
  t.end();
});
