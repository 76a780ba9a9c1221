import * as timers from "node:timers/promises";

import tap from "tap";

import * as clocks from "../../_lib/clock/index.js";
import * as logModels from "../../../standins/log/model/index.js";
import * as logServers from "../../../standins/log/server/index.js";
import * as faults from "../../../standins/faults/index.js";
import * as types from "../types.js";
import * as httpLogService from "./index.js";

const UNREACHABLE_URL = "http://127.0.0.1:9";

interface TestSetup {
  readonly server: logServers.LogServer;
  readonly client: httpLogService.HttpLogService;
}

async function startServerAndClient(
  t: Pick<typeof tap, "teardown">,
  firstUrls: readonly string[] = [],
  modelOptions: Partial<logModels.LogModelOptions> = {},
): Promise<TestSetup> {
  const clock = new clocks.SystemClock();
  const options = { ...logModels.DEFAULT_LOG_OPTIONS, ...modelOptions };
  const server = new logServers.LogServer({ name: "log" }, clock, options);
  await server.start();
  const client = new httpLogService.HttpLogService({
    platform: {
      logUrls: [...firstUrls, server.url],
      requestTimeoutMs: 300,
      longPollMs: 1_000,
      vmListIntervalMs: 1_000,
    },
  });
  t.teardown(async () => {
    client[Symbol.dispose]();
    await server[Symbol.asyncDispose]();
  });
  return { server, client };
}

const STREAM = types.LogStream.Calls;

/** Waits until a connection is back in its pool, shortly after the answer was read. */
async function waitForPoolReturn(): Promise<void> {
  await timers.setTimeout(20);
}

tap.test("records are read in the order in which they were appended", async (t) => {
  const { client } = await startServerAndClient(t);
  t.equal((await client.append(STREAM, [{ a: 1 }, { a: 2 }]))._unsafeUnwrap(), 0);
  t.equal((await client.append(STREAM, ["third"]))._unsafeUnwrap(), 2);
  const batch = (await client.read(STREAM, 1))._unsafeUnwrap();
  t.same(
    batch.records.map((record) => record.payload),
    [{ a: 2 }, "third"],
  );
  t.equal(batch.endOffset, 3);
});

tap.test("a long poll returns when a record is appended", async (t) => {
  const { client } = await startServerAndClient(t);
  const reading = client.read(STREAM, 0, { waitMs: 20_000 });
  await client.append(STREAM, [1]);
  t.equal((await reading)._unsafeUnwrap().records.length, 1);
});

tap.test("an aborted long poll ends at once", async (t) => {
  const { client } = await startServerAndClient(t);
  const controller = new AbortController();
  const reading = client.read(STREAM, 0, { waitMs: 20_000, signal: controller.signal });
  await client.append(types.LogStream.Leases, [1]);
  controller.abort();
  t.match((await reading)._unsafeUnwrapErr(), { code: "platform-unavailable", step: "log.read" });
});

tap.test(
  "an append whose answer is lost has execution state unknown, and has taken effect",
  async (t) => {
    const { client, server } = await startServerAndClient(t);
    await server.inject({ fault: faults.FaultKind.LoseAnswer, count: 1 });
    const lost = await client.append(STREAM, ["x"]);
    t.match(lost._unsafeUnwrapErr(), { execution: "unknown", peer: "log", step: "log.append" });
    t.equal((await client.read(STREAM, 0))._unsafeUnwrap().records.length, 1);
  },
);

tap.test("an append that is not answered in time has execution state unknown", async (t) => {
  const { client, server } = await startServerAndClient(t);
  await client.append(STREAM, [0]);
  await server.inject({ fault: faults.FaultKind.Stall });
  const late = await client.append(STREAM, [1]);
  t.match(late._unsafeUnwrapErr(), { execution: "unknown", message: "no answer within 300 ms" });
  await server.heal(faults.FaultKind.Stall);
});

tap.test("an append to a log that is down has execution state not-run", async (t) => {
  const { client, server } = await startServerAndClient(t);
  await server.inject({ fault: faults.FaultKind.Down });
  const refused = await client.append(STREAM, [1]);
  t.match(refused._unsafeUnwrapErr(), { code: "platform-unavailable", execution: "not-run" });
  await server.heal(faults.FaultKind.Down);
  t.equal((await client.append(STREAM, [1]))._unsafeUnwrap(), 0);
});

tap.test("an append beyond the rate is refused with a retry delay", async (t) => {
  const { client } = await startServerAndClient(t, [], { maxAppendsPerSecond: 1 });
  await client.append(STREAM, [1]);
  const refused = await client.append(STREAM, [2]);
  t.match(refused._unsafeUnwrapErr(), { execution: "not-run", retryAfterMs: 1_000 });
});

tap.test("the next address is tried if nothing listens at the first", async (t) => {
  const { client } = await startServerAndClient(t, [UNREACHABLE_URL]);
  t.equal((await client.append(STREAM, [1]))._unsafeUnwrap(), 0);
});

tap.test("a connection that timed out is not reused", async (t) => {
  const { client, server } = await startServerAndClient(t);
  await client.append(STREAM, [0]);
  await waitForPoolReturn();
  await server.inject({ fault: faults.FaultKind.Silence });
  t.match((await client.read(STREAM, 0))._unsafeUnwrapErr(), { execution: "unknown" });
  t.equal((await client.read(STREAM, 0))._unsafeUnwrap().records.length, 1);
});
