import * as http from "node:http";
import * as net from "node:net";

import tap, { type Test } from "tap";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as statusAnswers from "./index.js";

const { StatusAnswers } = byteBudgets.ByteHolder;

/** More than a connection takes that nobody reads. */
const ANSWER_BYTES = 12_000_000;

interface Rig {
  readonly port: number;
  readonly bytes: byteBudgets.ByteBudget;
  readonly answers: statusAnswers.StatusAnswers;
  readonly refusedCount: () => number;
}

async function setUp(t: Test, answerBytes: number): Promise<Rig> {
  const bytes = new byteBudgets.ByteBudget(40_000_000);
  const answers = new statusAnswers.StatusAnswers(bytes);
  const server = http.createServer((_request, response) => {
    setImmediate(() => response.end(Buffer.alloc(answerBytes)));
  });
  let refusedCount = 0;
  answers.guard(server, () => (refusedCount += 1));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return { port, bytes, answers, refusedCount: () => refusedCount };
}

/** Sends requests at once and reads nothing but the begin of the first answer. */
async function send(t: Test, port: number, count: number): Promise<net.Socket> {
  const socket = net.connect(port, "127.0.0.1");
  t.teardown(() => socket.destroy());
  socket.on("error", () => undefined);
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(count));
  await new Promise((resolve) => socket.once("readable", resolve).once("close", resolve));
  return socket;
}

tap.test("unread answers are counted, and the largest make room", async (t) => {
  const { port, bytes, answers } = await setUp(t, ANSWER_BYTES);
  const one = await send(t, port, 1);
  answers.measure();
  const oneBytes = bytes.heldFor(StatusAnswers);
  t.ok(oneBytes > 0 && oneBytes <= 1.01 * ANSWER_BYTES, `${oneBytes} bytes are counted`);
  const two = await send(t, port, 2);
  answers.measure();
  const threeBytes = bytes.heldFor(StatusAnswers);
  t.ok(threeBytes > oneBytes + ANSWER_BYTES, "an answer that waits for another is counted too");
  await send(t, port, 1);
  answers.measure();
  t.equal(bytes.evictionsOf(StatusAnswers), 1);
  two.resume();
  await new Promise((resolve) => two.once("close", resolve));
  t.notOk(one.destroyed);
  one.destroy();
  while (bytes.heldFor(StatusAnswers) > 1.01 * ANSWER_BYTES) {
    await new Promise((resolve) => setTimeout(resolve, 5));
    answers.measure();
  }
});

tap.test("a connection with too many requests at a time is closed", async (t) => {
  const { port, refusedCount } = await setUp(t, 10);
  const few = await send(t, port, 4);
  t.notOk(few.destroyed);
  t.equal(refusedCount(), 0);
  const many = await send(t, port, 1_000);
  t.ok(many.destroyed);
  t.equal(refusedCount(), 1);
});

tap.test("any number of requests may follow each other on a connection", async (t) => {
  const { port, bytes, answers, refusedCount } = await setUp(t, 10);
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  t.teardown(() => agent.destroy());
  for (let count = 0; count < 100; count += 1) {
    await new Promise((resolve, reject) => {
      const request = http.get({ port, agent }, (answer) => answer.resume().on("end", resolve));
      request.on("error", reject);
    });
  }
  answers.measure();
  t.equal(refusedCount(), 0);
  t.equal(bytes.usedBytes, 0);
});
