import type * as http from "node:http";
import * as stream from "node:stream";

import tap from "tap";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import type * as crashes from "../../../crashes/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as answerIntakes from "../../answerIntake/index.js";
import * as fixtures from "../fixtures/index.js";
import * as openAttempts from "../openAttempt/index.js";
import * as eventStreams from "./index.js";

const { StreamEvents } = byteBudgets.ByteHolder;

const WATCHED = {
  recordOutput: () => undefined,
  recordSurvival: () => undefined,
  recordBreak: () => Promise.resolve(false),
  [Symbol.dispose]: () => undefined,
} as unknown as crashes.WatchedRun;

interface OpenedStream {
  readonly message: stream.PassThrough;
  readonly events: string[];
  readonly end: Promise<eventStreams.StreamEnd>;
}

class Rig {
  readonly bytes = new byteBudgets.ByteBudget(1_000_000);
  readonly lines: [diagnostics.LogEvent, diagnostics.LogFields][] = [];
  private readonly clock = new virtualClocks.VirtualClock();
  private readonly answers = new answerIntakes.AnswerIntake({
    bytes: this.bytes,
    clock: this.clock,
    log: { record: (_importance, event, fields) => this.lines.push([event, fields]) },
  });

  /** Begins to forward the events of a stream. */
  open(requestId: string): OpenedStream {
    const message = new stream.PassThrough();
    const events: string[] = [];
    const opening: openAttempts.AnsweredOpening = {
      kind: openAttempts.OpeningKind.Answered,
      message: message as unknown as http.IncomingMessage,
      peer: null,
      close: () => message.destroy(),
      isCutOff: () => Promise.resolve(false),
    };
    const server = fixtures.createServerEntry("s1", 1);
    const opened = new eventStreams.EngineStream(server, opening, WATCHED, {
      answers: this.answers,
      requestId,
    });
    const consumer = {
      handleEvent: ({ bytes }: { readonly bytes: Buffer }) => events.push(bytes.toString()) > 0,
      backpressure: () => null,
      onSilence: () => undefined,
    };
    return { message, events, end: opened.forward(consumer, this.clock) };
  }
}

async function deliver(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

// Guards against a process over its memory by many streams with events that have no end.
tap.test("incomplete events are counted, and the largest makes room for others", async (t) => {
  const rig = new Rig();
  const opened = Array.from({ length: 40 }, (_, index) => rig.open(`r${index}`));
  for (const [index, { message }] of opened.entries()) {
    for (let sizeBytes = 0; sizeBytes < 20_000 + index; sizeBytes += 1_000)
      message.write(Buffer.alloc(1_000, "x"));
  }
  await deliver();
  const heldBytes = rig.bytes.heldFor(StreamEvents);
  t.ok(heldBytes >= 600_000 && heldBytes <= rig.bytes.limitBytes, `${heldBytes} bytes are counted`);
  const evictionsCount = rig.bytes.evictionsOf(StreamEvents);
  t.ok(evictionsCount > 0);
  const closed = opened.filter(({ message }) => message.destroyed);
  t.equal(closed.length, evictionsCount);
  for (const { end } of closed) t.equal(await end, eventStreams.StreamEnd.Truncated);
  const { BytesEvicted } = diagnostics.LogEvent;
  t.match(rig.lines, Array<unknown>(evictionsCount).fill([BytesEvicted, { holder: StreamEvents }]));
  t.ok(rig.lines.every(([, { sizeBytes }]) => Number(sizeBytes) >= 20_000));

  for (const { message } of opened) if (!message.destroyed) message.write("\n\n");
  await deliver();
  t.equal(rig.bytes.heldFor(StreamEvents), 0, "a complete event is no longer counted");
  const whole = opened.filter(({ message }) => !message.destroyed);
  t.ok(whole.every(({ events }) => events.length === 1));
});

tap.test("a stream that ends within an event counts no longer", async (t) => {
  const rig = new Rig();
  const { message, end } = rig.open("r1");
  message.write("id: 1\n");
  await deliver();
  t.ok(rig.bytes.heldFor(StreamEvents) > 0);
  message.end();
  t.equal(await end, eventStreams.StreamEnd.Truncated);
  t.equal(rig.bytes.heldFor(StreamEvents), 0);
});
