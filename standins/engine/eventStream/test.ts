import * as stream from "node:stream";
import type * as http from "node:http";

import tap from "tap";

import * as eventStreams from "./index.js";

/** A response that completes no write until it is unblocked. */
class BlockedResponse extends stream.Writable {
  text = "";
  private completeBlockedWrite: (() => void) | null = null;
  private isBlocked = true;

  constructor() {
    super({ highWaterMark: 64 });
  }

  override _write(chunk: Buffer, _encoding: BufferEncoding, callback: () => void): void {
    this.text += chunk.toString();
    if (this.isBlocked) this.completeBlockedWrite = callback;
    else callback();
  }

  unblock(): void {
    this.isBlocked = false;
    this.completeBlockedWrite?.();
  }

  writeHead(): this {
    return this;
  }

  flushHeaders(): void {
    // This fake sends no headers.
  }
}

tap.test("a slow reader resumes after the last token written to it", async (t) => {
  const response = new BlockedResponse();
  const resumedFrom: number[] = [];
  const target = response as unknown as http.ServerResponse;
  const events = new eventStreams.EventStream(target, "r", 0, (offset) => resumedFrom.push(offset));
  events.begin();
  events.onFrame({ offset: 0, tokens: ["a"], finishReason: null });
  events.onFrame({ offset: 1, tokens: ["b"], finishReason: null });
  const drained = new Promise((resolve) => response.once("drain", resolve));
  response.unblock();
  await drained;
  t.same(resumedFrom, [1]);
  events.onFrame({ offset: 0, tokens: ["a", "b"], finishReason: null });
  t.match(response.text, /id: r:0\n.*"text":"a".*\n\nid: r:1\n.*"text":"b"/);
  t.equal(response.text.match(/"text":"a"/g)?.length, 1);
});
