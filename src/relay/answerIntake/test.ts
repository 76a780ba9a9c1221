import * as events from "node:events";
import type * as http from "node:http";

import tap from "tap";

import * as byteBudgets from "../../_lib/byteBudget/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as collectBodies from "../_lib/collectBody/index.js";
import * as heldBodies from "../_lib/heldBody/index.js";
import * as constants from "../constants.js";
import * as answerIntakes from "./index.js";

const MB = 1024 * 1024;
const LIMIT_BYTES = 40 * MB;
const CHUNK = Buffer.alloc(64 * 1024);
const { BodyEnd } = collectBodies;

/** An answer of which the server sends a chunk at each step, unless it is paused. */
class FakeAnswer extends events.EventEmitter {
  readonly headers: http.IncomingHttpHeaders = {};
  readonly statusCode = 200;
  complete = false;
  destroyed = false;
  isPaused = false;
  private sentBytes = 0;

  constructor(private readonly sizeBytes: number) {
    super();
  }

  pause(): void {
    this.isPaused = true;
  }

  resume(): void {
    this.isPaused = false;
  }

  close(): void {
    if (this.destroyed) return;
    this.destroyed = true;
    this.emit("close");
  }

  sendChunk(): void {
    if (this.isPaused || this.destroyed) return;
    if (this.sentBytes >= this.sizeBytes) {
      this.complete = true;
      this.emit("end");
      return;
    }
    this.sentBytes += CHUNK.length;
    this.emit("data", CHUNK);
  }
}

interface Trial {
  readonly bytes: byteBudgets.ByteBudget;
  readonly clock: virtualClocks.VirtualClock;
  readonly ends: readonly (collectBodies.BodyEnd | undefined)[];
  readonly maxUsedBytes: number;
  readonly fullStepsCount: number;
}

/** Reads answers at once, each of which sends a chunk at each step, and disposes of those that are complete. */
async function readAnswers(
  sizesBytes: readonly number[],
  { stepMs, stepsCount }: { readonly stepMs: number; readonly stepsCount: number },
): Promise<Trial> {
  const bytes = new byteBudgets.ByteBudget(LIMIT_BYTES);
  const clock = new virtualClocks.VirtualClock();
  const intake = new answerIntakes.AnswerIntake({
    bytes,
    clock,
    log: diagnostics.NOOP_DECISION_LOG,
  });
  const ends: (collectBodies.BodyEnd | undefined)[] = sizesBytes.map(() => undefined);
  const answers = sizesBytes.map((sizeBytes, index) => {
    const answer = new FakeAnswer(sizeBytes);
    const origin = {
      requestId: `r${index}`,
      serverId: "s1",
      method: "GET",
      close: () => answer.close(),
      signal: new AbortController().signal,
    };
    const onRead = (body: heldBodies.HeldBody): void => {
      ends[index] = body.end;
      body[Symbol.dispose]();
      answer.close();
    };
    void intake.read(answer as unknown as http.IncomingMessage, origin).then(onRead);
    return answer;
  });
  let maxUsedBytes = 0;
  let fullStepsCount = 0;
  for (let step = 0; step < stepsCount; step += 1) {
    for (const answer of answers) answer.sendChunk();
    maxUsedBytes = Math.max(maxUsedBytes, bytes.usedBytes);
    if (!bytes.hasRoomFor(0)) fullStepsCount += 1;
    await clock.runForMs(stepMs);
  }
  return { bytes, clock, ends, maxUsedBytes, fullStepsCount };
}

tap.test("forty answers without end are given up one after the other", async (t) => {
  const sizes = Array.from({ length: 40 }, () => Infinity);
  const trial = await readAnswers(sizes, { stepMs: 0.1, stepsCount: 8_000 });
  t.equal(trial.ends.filter((end) => end === BodyEnd.TooLarge).length, 40);
  const unpacedBytes = sizes.length * (constants.MAX_UNPACED_ANSWER_BYTES + CHUNK.length);
  const boundBytes =
    constants.PACED_ANSWERS_RATIO * LIMIT_BYTES + constants.MAX_ANSWER_BYTES + unpacedBytes;
  t.ok(trial.maxUsedBytes <= boundBytes, `${trial.maxUsedBytes} of ${boundBytes} bytes`);
  t.equal(trial.fullStepsCount, 0, "no call of others is refused");
  t.equal(trial.bytes.usedBytes, 0);
  t.equal(trial.clock.pendingTimersCount, 0);
});

tap.test("forty slow answers without end are given up, the largest first", async (t) => {
  const sizes = Array.from({ length: 40 }, () => Infinity);
  const trial = await readAnswers(sizes, { stepMs: 100, stepsCount: 4_000 });
  t.ok(trial.ends.every((end) => end === BodyEnd.TooLarge || end === BodyEnd.Evicted));
  t.equal(trial.fullStepsCount, 0, "no call of others is refused");
  t.equal(trial.bytes.usedBytes, 0);
});

tap.test("sound large answers are read whole beside some without end", async (t) => {
  const sound = [7, 7, 7, 7].map((size) => size * MB);
  const endless = [Infinity, Infinity, Infinity, Infinity];
  const trial = await readAnswers([...sound, ...endless], { stepMs: 0.1, stepsCount: 4_000 });
  t.same(
    trial.ends.slice(0, sound.length),
    sound.map(() => BodyEnd.Complete),
  );
});

tap.test("ordinary answers never wait while large ones are paused", async (t) => {
  const endless = Array.from({ length: 100 }, () => Infinity);
  const small = constants.MAX_UNPACED_ANSWER_BYTES;
  const trial = await readAnswers([...endless, small, small], { stepMs: 0.1, stepsCount: 3 });
  t.same(trial.ends.slice(-2), [BodyEnd.Complete, BodyEnd.Complete]);
});

tap.test("the body of an answer to HEAD is not expected", async (t) => {
  const bytes = new byteBudgets.ByteBudget(LIMIT_BYTES);
  const clock = new virtualClocks.VirtualClock();
  const log = diagnostics.NOOP_DECISION_LOG;
  const intake = new answerIntakes.AnswerIntake({ bytes, clock, log });
  const { signal } = new AbortController();
  const read = async (method: string): Promise<collectBodies.BodyEnd> => {
    const answer = new FakeAnswer(0);
    answer.headers["content-length"] = "1000000000";
    const close = (): void => answer.close();
    const origin = { requestId: "r", serverId: "s", method, close, signal };
    const body = intake.read(answer as unknown as http.IncomingMessage, origin);
    answer.sendChunk();
    return (await body).end;
  };
  t.equal(await read("HEAD"), BodyEnd.Complete);
  t.equal(await read("GET"), BodyEnd.TooLarge);
});
