import * as timers from "node:timers/promises";

import tap from "tap";

import * as clocks from "../../_lib/clock/index.js";
import * as logModels from "../../../standins/log/model/index.js";
import * as logServers from "../../../standins/log/server/index.js";
import * as faults from "../../../standins/faults/index.js";
import * as types from "../types.js";
import * as httpLogService from "./index.js";

const UNREACHABLE_URL = "http://127.0.0.1:9";

interface Bench {
  readonly server: logServers.LogServer;
  readonly client: httpLogService.HttpLogService;
}

async function createBench(
  t: Pick<typeof tap, "teardown">,
  firstUrls: readonly string[] = [],
  modelOptions: Partial<logModels.LogModelOptions> = {},
): Promise<Bench> {
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

/** A connection goes back to its pool shortly after the answer was read. */
async function returnedToPool(): Promise<void> {
  await timers.setTimeout(20);
}

tap.test("records are read back in the order of their appends", async (t) => {
  const { client } = await createBench(t);
  t.equal((await client.append(STREAM, [{ a: 1 }, { a: 2 }]))._unsafeUnwrap(), 0);
  t.equal((await client.append(STREAM, ["third"]))._unsafeUnwrap(), 2);
  const batch = (await client.read(STREAM, 1))._unsafeUnwrap();
  t.same(
    batch.records.map((record) => record.payload),
    [{ a: 2 }, "third"],
  );
  t.equal(batch.endOffset, 3);
});

tap.test("a long poll returns when a record comes", async (t) => {
  const { client } = await createBench(t);
  const reading = client.read(STREAM, 0, { waitMs: 20_000 });
  await client.append(STREAM, [1]);
  t.equal((await reading)._unsafeUnwrap().records.length, 1);
});

tap.test("a long poll that is given up ends at once", async (t) => {
  const { client } = await createBench(t);
  const giveUp = new AbortController();
  const reading = client.read(STREAM, 0, { waitMs: 20_000, signal: giveUp.signal });
  await client.append(types.LogStream.Leases, [1]);
  giveUp.abort();
  t.match((await reading)._unsafeUnwrapErr(), { code: "platform-unavailable", step: "log.read" });
});

tap.test("an append whose answer is lost is unknown and did happen", async (t) => {
  const { client, server } = await createBench(t);
  await server.inject({ fault: faults.FaultKind.LoseAnswer, count: 1 });
  const lost = await client.append(STREAM, ["x"]);
  t.match(lost._unsafeUnwrapErr(), { execution: "unknown", peer: "log", step: "log.append" });
  t.equal((await client.read(STREAM, 0))._unsafeUnwrap().records.length, 1);
});

tap.test("an append without an answer in time is unknown", async (t) => {
  const { client, server } = await createBench(t);
  await client.append(STREAM, [0]);
  await server.inject({ fault: faults.FaultKind.Stall });
  const late = await client.append(STREAM, [1]);
  t.match(late._unsafeUnwrapErr(), { execution: "unknown", message: "no answer within 300 ms" });
  await server.heal(faults.FaultKind.Stall);
});

tap.test("an append to a log that is down has not run", async (t) => {
  const { client, server } = await createBench(t);
  await server.inject({ fault: faults.FaultKind.Down });
  const refused = await client.append(STREAM, [1]);
  t.match(refused._unsafeUnwrapErr(), { code: "platform-unavailable", execution: "not-run" });
  await server.heal(faults.FaultKind.Down);
  t.equal((await client.append(STREAM, [1]))._unsafeUnwrap(), 0);
});

tap.test("an append beyond the rate is refused with a time to come back", async (t) => {
  const { client } = await createBench(t, [], { maxAppendsPerSecond: 1 });
  await client.append(STREAM, [1]);
  const refused = await client.append(STREAM, [2]);
  t.match(refused._unsafeUnwrapErr(), { execution: "not-run", retryAfterMs: 1_000 });
});

tap.test("the next address is tried where nothing listens at the first", async (t) => {
  const { client } = await createBench(t, [UNREACHABLE_URL]);
  t.equal((await client.append(STREAM, [1]))._unsafeUnwrap(), 0);
});

tap.test("a silent connection is not used again after its timeout", async (t) => {
  const { client, server } = await createBench(t);
  await client.append(STREAM, [0]);
  await returnedToPool();
  await server.inject({ fault: faults.FaultKind.Silence });
  t.match((await client.read(STREAM, 0))._unsafeUnwrapErr(), { execution: "unknown" });
  t.equal((await client.read(STREAM, 0))._unsafeUnwrap().records.length, 1);
});
