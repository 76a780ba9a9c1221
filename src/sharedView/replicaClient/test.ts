import * as http from "node:http";
import type * as net from "node:net";
import * as zlib from "node:zlib";

import * as hapi from "@hapi/hapi";
import * as neverthrow from "neverthrow";
import tap, { type Test } from "tap";

import * as byteBudgets from "../../_lib/byteBudget/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as sharedView from "../index.js";
import * as replicaServers from "../replicaServer/index.js";
import * as replicaClients from "./index.js";

const { Topic } = sharedView;

/** Peers of one VM in the largest deployment that the platform describes. */
const PEERS_COUNT = 89;

/** Link capacity of the larger VMs, which have the lowest reader ranks: 200 Mbit/s. */
const LINK_BYTES_PER_MS = 25_000;

/** The part of the 3 s for applying a change that is available for transfers between VMs. */
const MAX_TRANSFER_MS = 500;

/** A configuration with as many routes as the largest deployments have. */
function largeConfiguration(): Buffer {
  const routes = Array.from({ length: 1_720 }, (_, index) => ({
    name: `r-${((index + 1) * 2_654_435_761).toString(36)}`,
    host: "lovo22.example",
    path_prefix: `/x${(index * 40_503).toString(36)}/`,
    kind: "streaming",
    timeout_ms: 6_000,
    target_latency_ms: 1_500,
    target_gap_ms: 180,
    priority: 0,
    service: "s",
    max_attempts: 1,
    anonymous: false,
  }));
  return Buffer.from(JSON.stringify({ version: 45, routes }));
}

async function serve(
  value: Buffer,
  ageMs: number,
  revision = 0,
): Promise<{ readonly server: hapi.Server; readonly address: sharedView.VmAddress }> {
  const clock = new virtualClocks.VirtualClock();
  const listener = { onRecords: () => undefined, onListing: () => undefined };
  const replica = new sharedView.TopicReplica(clock, listener);
  const batch = { records: [{ key: "config", offset: 14, value }], endOffset: 15, epoch: 0 };
  replica.applyListing(batch, clockReadings.readClocks(clock), sharedView.ViewSource.Store);
  const record = replica.snapshot().records[0];
  if (record !== undefined && revision > 0) replica.retain(record, revision);
  await clock.runForMs(ageMs);
  const server = hapi.server({ host: "127.0.0.1", port: 0 });
  const bytes = new byteBudgets.ByteBudget(40_000_000);
  replicaServers.addReplicaRoutes(server, new Map([[Topic.Configuration, replica]]), bytes);
  await server.start();
  const port = Number(server.info.port);
  return { server, address: { vmName: "a", host: "127.0.0.1", port } };
}

tap.test("a fetched replica has all records and the age of the peer's view", async (t) => {
  const value = largeConfiguration();
  const { server, address } = await serve(value, 1_200);
  const fetched = await replicaClients.fetchReplica(Topic.Configuration, address);
  await server.stop();
  const { batch, ageMs } = fetched._unsafeUnwrap();
  t.equal(batch.endOffset, 15);
  t.ok(batch.records[0]?.value?.equals(value));
  t.equal(ageMs, 1_200);
});

tap.test(
  "one VM can send a large configuration to all others within the time for transfers",
  async (t) => {
    const { server } = await serve(largeConfiguration(), 0, 5);
    const { rawPayload } = await server.inject("/replica/configuration");
    await server.stop();
    const transferMs = (PEERS_COUNT * rawPayload.length) / LINK_BYTES_PER_MS;
    t.ok(transferMs < MAX_TRANSFER_MS, `${PEERS_COUNT} replicas take ${Math.round(transferMs)} ms`);
  },
);

tap.test("fetching an unknown topic or an invalid replica returns an error", async (t) => {
  const { server, address } = await serve(Buffer.from("{}"), 0);
  const unknown = await replicaClients.fetchReplica(Topic.Servers, address);
  await server.stop();
  t.ok(unknown.isErr());
  const other = hapi.server({ host: "127.0.0.1", port: 0 });
  other.route({ method: "GET", path: "/replica/{topic}", handler: () => "nonsense" });
  await other.start();
  const port = Number(other.info.port);
  const unreadable = await replicaClients.fetchReplica(Topic.Servers, { ...address, port });
  await other.stop();
  t.ok(unreadable.isErr());
});

tap.test("a peer that does not answer does not keep another one from being asked", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const listener = { onRecords: () => undefined, onListing: () => undefined };
  const replica = new sharedView.TopicReplica(clock, listener);
  const askedNames: string[] = [];
  const client = new sharedView.ReplicaClient({
    clock,
    log: diagnostics.NOOP_DECISION_LOG,
    replicas: new Map([[Topic.Configuration, replica]]),
    fetch: async (_topic, { vmName }) => {
      askedNames.push(vmName);
      if (vmName === "silent") await clock.sleep(sharedView.REPLICA_FETCH_TIMEOUT_MS);
      if (vmName === "silent") return neverthrow.err("timeout");
      const batch = { epoch: 0, endOffset: 5, records: [], retained: null };
      return neverthrow.ok({ batch, ageMs: 0 });
    },
  });
  const report = (vmName: string): void =>
    void client.catchUp(
      Topic.Configuration,
      { vmName, host: vmName, port: 1 },
      { epoch: 0, endOffset: 5, revision: 0 },
    );
  report("silent");
  await clock.runForMs(100);
  report("live");
  await clock.runForMs(100);
  t.same(askedNames, ["silent"], "a fetch is given some time before another peer is asked");
  await clock.runForMs(400);
  report("silent");
  report("live");
  await clock.runForMs(100);
  t.same(askedNames, ["silent", "live"]);
  t.equal(replica.endOffset, 5);
});

tap.test("the version in force reaches a VM whose epoch is later than the peer's", async (t) => {
  const value = Buffer.from("version 5");
  const { server, address } = await serve(value, 0, 5);
  const clock = new virtualClocks.VirtualClock();
  const received: (string | undefined)[] = [];
  const replica = new sharedView.TopicReplica(clock, {
    onRecords: (records) => received.push(...records.map((record) => record.value?.toString())),
    onListing: () => undefined,
  });
  const log = diagnostics.NOOP_DECISION_LOG;
  const batch = { records: [], endOffset: 3, epoch: 1 };
  const now = clockReadings.readClocks(clock);
  replica.applyListing(batch, now, sharedView.ViewSource.Store);
  const replicas = new Map([[Topic.Configuration, replica]]);
  const client = new sharedView.ReplicaClient({ clock, log, replicas });
  const state = { epoch: 0, endOffset: 15, revision: 5 };
  const caughtUp = client.catchUp(Topic.Configuration, address, state);
  await clock.runForMs(100);
  await caughtUp;
  await server.stop();
  t.same(received, ["version 5"]);
});

async function serveRaw(
  t: Test,
  listener: http.RequestListener,
): Promise<{ readonly server: http.Server; readonly address: sharedView.VmAddress }> {
  const server = http.createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return { server, address: { vmName: "a", host: "127.0.0.1", port } };
}

// Guards against a process that runs out of memory because of some kilobytes that a peer sends.
tap.test("a small answer that unpacks to millions of items is not unpacked", async (t) => {
  const itemsCount = 8_000_000;
  const head = Buffer.alloc(5);
  head.writeUInt8(0xdd);
  head.writeUInt32BE(itemsCount, 1);
  const emptyArrays = Buffer.alloc(itemsCount, 0x90);
  const body = zlib.gzipSync(Buffer.concat([head, emptyArrays]));
  const { address } = await serveRaw(t, (_request, response) => response.end(body));
  const formerPeakKb = process.resourceUsage().maxRSS;
  const fetched = await replicaClients.fetchReplica(Topic.Configuration, address);
  t.ok(fetched.isErr());
  const grownKb = process.resourceUsage().maxRSS - formerPeakKb;
  t.ok(grownKb < 100_000, `${body.length} bytes made the process grow by ${grownKb} KB`);
});

// Guards against reading an answer after its timeout, and against the uncaught error that this raised.
tap.test("a replica that is still sent after its time is read no further", async (t) => {
  let openCount = 0;
  const { address } = await serveRaw(t, (_request, response) => {
    openCount += 1;
    const timer = setInterval(() => response.write(Buffer.alloc(40_000)), 20);
    response.on("close", () => {
      openCount -= 1;
      clearInterval(timer);
    });
  });
  const fetched = await replicaClients.fetchReplica(Topic.Configuration, address);
  t.ok(fetched.isErr());
  await new Promise((resolve) => setTimeout(resolve, 1_000));
  t.equal(openCount, 0, "the connection is closed");
});

// Guards against a view of any age that passes for one confirmed now.
tap.test("a replica without a readable age is not used", async (t) => {
  const value = Buffer.from("x");
  const { server, address } = await serve(value, 1_200);
  for (const age of ["", " ", "1e3", "0x10", "-5", "1,200"]) {
    server.ext("onPreResponse", ({ response }, toolkit) => {
      if (!("isBoom" in response)) response.header(replicaServers.REPLICA_AGE_HEADER, age);
      return toolkit.continue;
    });
    const fetched = await replicaClients.fetchReplica(Topic.Configuration, address);
    t.ok(fetched.isErr(), JSON.stringify(age));
  }
  await server.stop();
});
