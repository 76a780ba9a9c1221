import * as crypto from "node:crypto";
import * as net from "node:net";

import * as hapi from "@hapi/hapi";
import tap, { type Test } from "tap";

import * as byteBudgets from "../../_lib/byteBudget/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as sharedView from "../index.js";

const { Topic, ViewSource } = sharedView;
const { Peers } = byteBudgets.ByteHolder;

/** Cannot be compressed, and more than a connection takes that nobody reads. */
const VALUE_BYTES = 12_000_000;

const LIMIT_BYTES = 40_000_000;

interface Rig {
  readonly port: number;
  readonly bytes: byteBudgets.ByteBudget;
  /** Replaces the only record of the replica. */
  readonly change: () => void;
}

async function setUp(t: Test): Promise<Rig> {
  const clock = new virtualClocks.VirtualClock();
  const listener = { onRecords: () => undefined, onListing: () => undefined };
  const replica = new sharedView.TopicReplica(clock, listener);
  const value = crypto.randomBytes(VALUE_BYTES);
  const now = clockReadings.readClocks(clock);
  const change = (): void => {
    const offset = Math.max(0, replica.endOffset);
    const records = [{ key: "config", offset, value }];
    const batch = { records, endOffset: offset + 1, epoch: 0 };
    replica.applyListing(batch, now, ViewSource.Store);
  };
  change();
  const bytes = new byteBudgets.ByteBudget(LIMIT_BYTES);
  const server = hapi.server({ host: "127.0.0.1", port: 0, compression: false });
  sharedView.addReplicaRoutes(server, new Map([[Topic.Configuration, replica]]), bytes);
  await server.start();
  t.teardown(() => server.stop({ timeout: 0 }));
  return { port: Number(server.info.port), bytes, change };
}

interface SlowReader {
  readonly socket: net.Socket;
  isClosed: boolean;
}

/** Asks for the replica and reads only the begin of the answer. */
async function startSlowReader(t: Test, port: number): Promise<SlowReader> {
  const socket = net.connect(port, "127.0.0.1");
  const reader = { socket, isClosed: false };
  socket.on("error", () => undefined);
  socket.on("close", () => (reader.isClosed = true));
  t.teardown(() => socket.destroy());
  socket.write("GET /replica/configuration HTTP/1.1\r\nHost: a\r\n\r\n");
  await new Promise((resolve) => socket.once("readable", resolve));
  return reader;
}

// Guards against a process over its memory by peers that do not read versions of a replica that changes.
tap.test("versions that peers have not read are counted, and the largest given up", async (t) => {
  const { port, bytes, change } = await setUp(t);
  const readers: SlowReader[] = [];
  for (let version = 0; version < 6; version += 1) {
    readers.push(await startSlowReader(t, port));
    t.ok(bytes.heldFor(Peers) <= LIMIT_BYTES, `${bytes.heldFor(Peers)} bytes are counted`);
    change();
  }
  t.ok(bytes.heldFor(Peers) > VALUE_BYTES);
  t.equal(bytes.evictionsOf(Peers), 3);
  // A connection tells its end to those that read.
  for (const { socket } of readers) socket.resume();
  const isDone = (): boolean => bytes.heldFor(Peers) === 0;
  while (!isDone()) await new Promise((resolve) => setTimeout(resolve, 5));
  // What the server has written may still be on its way to a reader.
  const isSettled = ({ socket, isClosed }: SlowReader): boolean =>
    isClosed || socket.bytesRead >= VALUE_BYTES;
  while (!readers.every(isSettled)) await new Promise((resolve) => setTimeout(resolve, 5));
  const closedCount = readers.filter(({ socket }) => socket.bytesRead < VALUE_BYTES).length;
  t.equal(closedCount, 3, "the others get theirs whole");
});

tap.test("one version counts once, however many peers read it", async (t) => {
  const { port, bytes } = await setUp(t);
  const readers = await Promise.all(Array.from({ length: 12 }, () => startSlowReader(t, port)));
  const countedBytes = bytes.heldFor(Peers);
  t.ok(countedBytes > 0 && countedBytes < 1.1 * VALUE_BYTES, `${countedBytes} bytes are counted`);
  t.equal(bytes.evictionsOf(Peers), 0);
  for (const { socket } of readers) socket.destroy();
  while (bytes.heldFor(Peers) > 0) await new Promise((resolve) => setTimeout(resolve, 5));
  t.equal(bytes.usedBytes, 0);
});
