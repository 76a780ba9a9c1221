import * as timers from "node:timers/promises";

import tap from "tap";

import * as clocks from "../../_lib/clock/index.js";
import * as faults from "../../../standins/faults/index.js";
import * as serviceServers from "../../../standins/service/server/index.js";
import type * as types from "../types.js";
import * as httpServiceClient from "./index.js";

interface TestSetup {
  readonly server: serviceServers.ServiceServer;
  readonly client: httpServiceClient.HttpServiceClient;
}

async function createTestSetup(t: Pick<typeof tap, "teardown">): Promise<TestSetup> {
  const server = new serviceServers.ServiceServer({ name: "s" }, new clocks.SystemClock());
  await server.start();
  const client = new httpServiceClient.HttpServiceClient("s", server.url);
  t.teardown(async () => {
    client[Symbol.dispose]();
    await server[Symbol.asyncDispose]();
  });
  return { server, client };
}

const FILING: types.ServiceRequest = {
  method: "POST",
  path: "/permits",
  headers: { "content-type": "application/json", "idempotency-key": "k1" },
  body: Buffer.from('{"park":"north"}'),
  timeoutMs: 300,
};

/** Waits until a connection is back in its pool, shortly after the answer was read. */
async function waitForReturnToPool(): Promise<void> {
  await timers.setTimeout(20);
}

tap.test("a call runs and its answer is returned", async (t) => {
  const { client, server } = await createTestSetup(t);
  const answer = (await client.call(FILING))._unsafeUnwrap();
  t.equal(answer.statusCode, 200);
  t.match(answer.contentType, /^application\/json/);
  t.match(JSON.parse(Buffer.from(answer.body).toString()), { run: 1, key: "k1" });
  t.match(server.model.countRuns(), [{ count: 1, run: { body: '{"park":"north"}' } }]);
});

tap.test(
  "after a lost answer the execution is unknown, and the status lookup shows that it ran",
  async (t) => {
    const { client, server } = await createTestSetup(t);
    await server.inject({ fault: faults.FaultKind.LoseAnswer, count: 1 });
    t.match((await client.call(FILING))._unsafeUnwrapErr(), { execution: "unknown", peer: "s" });
    const lookUp = { ...FILING, method: "GET", path: "/permits/by-key/k1", body: Buffer.alloc(0) };
    t.equal((await client.call(lookUp))._unsafeUnwrap().statusCode, 200);
    t.equal(server.model.runs.length, 1);
  },
);

tap.test("a call to a server that is down has not run", async (t) => {
  const { client, server } = await createTestSetup(t);
  await client.call({ ...FILING, isIdempotent: true });
  await server.inject({ fault: faults.FaultKind.Down });
  const refused = (await client.call(FILING))._unsafeUnwrapErr();
  t.match(refused, { code: "backend-failed", execution: "not-run", step: "service.call" });
});

tap.test(
  "a call that is not idempotent uses no pooled connection, which may have become silent",
  async (t) => {
    const { client, server } = await createTestSetup(t);
    await client.call({ ...FILING, isIdempotent: true });
    await waitForReturnToPool();
    await server.inject({ fault: faults.FaultKind.Silence });
    t.equal((await client.call(FILING))._unsafeUnwrap().statusCode, 200);
    const pooled = await client.call({ ...FILING, isIdempotent: true });
    t.match(pooled._unsafeUnwrapErr(), { execution: "unknown" });
    t.equal(server.model.runs.length, 2);
  },
);

tap.test("the execution is unknown if the answer exceeds the timeout", async (t) => {
  const { client, server } = await createTestSetup(t);
  await server.inject({ fault: faults.FaultKind.Slow, durationMs: 1_000 });
  t.match((await client.call(FILING))._unsafeUnwrapErr(), { execution: "unknown" });
});

tap.test("a status lookup of a key that was never run answers 404", async (t) => {
  const { client } = await createTestSetup(t);
  const lookUp = { ...FILING, method: "GET", path: "/permits/by-key/none", body: Buffer.alloc(0) };
  t.equal((await client.call(lookUp))._unsafeUnwrap().statusCode, 404);
});
