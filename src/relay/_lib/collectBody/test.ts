import * as http from "node:http";
import * as net from "node:net";

import tap from "tap";

import * as collectBodies from "./index.js";

/** Creates a message that receives what the test pushes to it. */
function createMessage(): http.IncomingMessage {
  const message = new http.IncomingMessage(new net.Socket());
  message._read = () => undefined;
  return message;
}

function pushAll(message: http.IncomingMessage, texts: readonly string[]): void {
  for (const text of texts) message.push(Buffer.from(text));
}

tap.test("a body that announces more than its bound is not read", async (t) => {
  const message = createMessage();
  const reading = new collectBodies.BodyReading(message, { maxBytes: 10, announcedBytes: 11 });
  t.equal((await reading.collected).end, collectBodies.BodyEnd.TooLarge);
  t.equal(message.listenerCount("data"), 0);
});

tap.test("a body that exceeds its bound is given up", async (t) => {
  const message = createMessage();
  const sizes: number[] = [];
  const reading = new collectBodies.BodyReading(message, {
    maxBytes: 10,
    onBytes: (chunkBytes) => sizes.push(chunkBytes),
  });
  pushAll(message, ["12345", "12345", "1"]);
  const collected = await reading.collected;
  t.equal(collected.end, collectBodies.BodyEnd.TooLarge);
  t.same(collected.chunks, [], "what was received is not kept");
  t.same(sizes, [5, 5]);
  t.equal(message.listenerCount("data"), 0, "nothing is read after it");
});

tap.test("a body that is evicted is given up at once", async (t) => {
  const message = createMessage();
  const reading = new collectBodies.BodyReading(message, {
    maxBytes: 10,
    onBytes: () => reading.evict(),
  });
  pushAll(message, ["12345", "123"]);
  const collected = await reading.collected;
  t.equal(collected.end, collectBodies.BodyEnd.Evicted);
  t.same(collected.chunks, []);
});

tap.test("a complete body is passed on without a copy of one chunk", async (t) => {
  const message = createMessage();
  const chunk = Buffer.from("all of it");
  const collecting = collectBodies.collectBody(message, 100);
  message.push(chunk);
  message.push(null);
  const collected = await collecting;
  t.equal(collected.end, collectBodies.BodyEnd.Complete);
  t.equal(collected.body, chunk);
});
