import * as timers from "node:timers/promises";

import tap from "tap";

import * as tcpFleet from "../../../standins/peers/tcpFleet/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as constants from "../constants.js";

const CALL = { timeoutMs: 5_000 };

async function waitUntil(isTrue: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 500 && !isTrue(); attempt += 1) await timers.setTimeout(10);
}

tap.test(
  "a call returns the handler's result, and the handler receives the caller's VM name",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a");
    const b = await fleet.start("b");
    b.register("echo", (params, fromVm) => ({ params, fromVm }));
    const answer = await a.call("b", "echo", { n: 1 }, CALL);
    t.same(answer._unsafeUnwrap(), { params: { n: 1 }, fromVm: "a" });
  },
);

tap.test("a StepError thrown by a handler reaches the caller with its fields", async (t) => {
  await using fleet = new tcpFleet.TcpFleet();
  const a = await fleet.start("a");
  const b = await fleet.start("b");
  b.register("refuse", () => {
    throw new stepError.StepError("no capacity", {
      code: stepError.ErrorCode.Overloaded,
      step: "admission",
      execution: stepError.ExecutionState.NotRun,
      retryAfterMs: 250,
    });
  });
  const error = (await a.call("b", "refuse", null, CALL))._unsafeUnwrapErr();
  t.match(error, {
    message: "no capacity",
    code: "overloaded",
    step: "admission",
    retryAfterMs: 250,
  });
  t.equal(error.execution, stepError.ExecutionState.NotRun);
});

tap.test(
  "the execution state is not-run for an unknown method, and unknown for a failed handler",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a");
    const b = await fleet.start("b");
    b.register("break", () => {
      throw new Error("bug");
    });
    const unknown = (await a.call("b", "nothing", null, CALL))._unsafeUnwrapErr();
    t.equal(unknown.execution, stepError.ExecutionState.NotRun);
    const broken = (await a.call("b", "break", null, CALL))._unsafeUnwrapErr();
    t.equal(broken.execution, stepError.ExecutionState.Unknown);
  },
);

tap.test("responses that arrive out of order are matched to their calls", async (t) => {
  await using fleet = new tcpFleet.TcpFleet();
  const a = await fleet.start("a");
  const b = await fleet.start("b");
  b.register("wait", async (params) => {
    await timers.setTimeout(20 - Number(params));
    return params;
  });
  const answers = await Promise.all(
    Array.from({ length: 20 }, (_, index) => a.call("b", "wait", index, CALL)),
  );
  t.same(
    answers.map((answer) => answer._unsafeUnwrap()),
    Array.from({ length: 20 }, (_, index) => index),
  );
});

tap.test("notifications arrive in the order in which they were sent", async (t) => {
  await using fleet = new tcpFleet.TcpFleet();
  const a = await fleet.start("a");
  const b = await fleet.start("b");
  const received: unknown[] = [];
  b.register("token", (params) => received.push(params));
  let acceptedCount = 0;
  for (let offset = 0; offset < 20_000; offset += 1) {
    if (a.notify("b", "token", offset)) acceptedCount += 1;
  }
  t.equal(acceptedCount, 20_000);
  await waitUntil(() => received.length === 20_000);
  t.ok(received.every((offset, index) => offset === index));
  t.equal(received.length, 20_000);
});

tap.test(
  "a call without a response fails at its timeout with execution state unknown",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a");
    const b = await fleet.start("b");
    b.register("hang", () => new Promise(() => undefined));
    const error = (await a.call("b", "hang", null, { timeoutMs: 50 }))._unsafeUnwrapErr();
    t.equal(error.code, stepError.ErrorCode.DeadlineExceeded);
    t.equal(error.execution, stepError.ExecutionState.Unknown);
    t.equal(error.peer, "b");
  },
);

tap.test("a full queue rejects messages, and they are not sent", async (t) => {
  await using fleet = new tcpFleet.TcpFleet();
  const a = await fleet.start("a", { maxQueuedCount: 10 });
  await fleet.start("b");
  const results = Array.from({ length: 12 }, () => a.notify("b", "x", null));
  t.equal(results.filter(Boolean).length, 10);
  const error = (await a.call("b", "x", null, CALL))._unsafeUnwrapErr();
  t.equal(error.code, stepError.ErrorCode.Overloaded);
  t.equal(error.execution, stepError.ExecutionState.NotRun);
});

tap.test(
  "a request or response over the frame limit fails, and the connection stays usable",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a", { maxFrameBytes: 2_000 });
    const b = await fleet.start("b", { maxFrameBytes: 2_000 });
    b.register("echo", (params) => params);
    b.register("long", () => "x".repeat(3_000));
    const sent = (await a.call("b", "echo", "x".repeat(3_000), CALL))._unsafeUnwrapErr();
    t.equal(sent.code, stepError.ErrorCode.TooLarge);
    const answered = (await a.call("b", "long", null, CALL))._unsafeUnwrapErr();
    t.equal(answered.code, stepError.ErrorCode.TooLarge);
    t.equal((await a.call("b", "echo", 1, CALL))._unsafeUnwrap(), 1);
  },
);

tap.test(
  "an idle connection is closed without a disconnect event, and reopened by the next call",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a", { idleCloseMs: 1, pingAfterMs: 10 });
    const b = await fleet.start("b");
    b.register("echo", (params) => params);
    const lost: string[] = [];
    a.onDisconnect((vmName) => lost.push(vmName));
    b.onDisconnect((vmName) => lost.push(vmName));
    for (const round of [1, 2]) {
      t.equal((await a.call("b", "echo", round, CALL))._unsafeUnwrap(), round);
      await timers.setTimeout(2.5 * constants.LIVENESS_CHECK_INTERVAL_MS);
    }
    t.same(lost, []);
  },
);

tap.test(
  "a method can have only one handler, and has none after the handler is disposed",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a");
    const b = await fleet.start("b");
    const handler = b.register("echo", (params) => params);
    t.throws(() => b.register("echo", () => null));
    handler[Symbol.dispose]();
    t.ok((await a.call("b", "echo", 1, CALL)).isErr());
  },
);
