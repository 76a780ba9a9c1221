import * as net from "node:net";

import tap, { type Test } from "tap";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as spliceSockets from "./index.js";

const TUNNELS_COUNT = 40;

async function listen(t: Test, onSocket: (socket: net.Socket) => void): Promise<number> {
  const server = net.createServer((socket) => {
    socket.on("error", () => undefined);
    t.teardown(() => socket.destroy());
    onSocket(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  return (server.address() as net.AddressInfo).port;
}

function connect(t: Test, port: number): net.Socket {
  const socket = net.connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  t.teardown(() => socket.destroy());
  return socket;
}

// Guards against tunnels that together hold more than the process's memory for peers that do not read.
tap.test("tunnels to peers that do not read hold no more than the budget", async (t) => {
  const limitBytes = 500_000;
  const bytes = new byteBudgets.ByteBudget(limitBytes);
  const block = Buffer.alloc(64 * 1024);
  const serverPort = await listen(t, (socket) => {
    const pour = (): void => {
      while (!socket.destroyed && socket.write(block));
    };
    socket.on("drain", pour);
    pour();
  });
  const accepted: net.Socket[] = [];
  const tunnelPort = await listen(t, (caller) => {
    accepted.push(caller);
    spliceSockets.spliceSockets(caller, connect(t, serverPort), bytes);
  });
  for (let index = 0; index < TUNNELS_COUNT; index += 1) connect(t, tunnelPort).pause();
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  const unreadBytes = accepted
    .filter((socket) => !socket.destroyed)
    .reduce((sum, { writableLength }) => sum + writableLength, 0);
  t.equal(accepted.length, TUNNELS_COUNT);
  t.ok(unreadBytes <= limitBytes, `${unreadBytes} bytes are held`);
  t.equal(bytes.heldFor(byteBudgets.ByteHolder.Tunnels), unreadBytes);
  t.ok(bytes.evictionsOf(byteBudgets.ByteHolder.Tunnels) > 0);
});

tap.test("a tunnel whose bytes are read holds none of them", async (t) => {
  const bytes = new byteBudgets.ByteBudget(500_000);
  const sizeBytes = 5_000_000;
  const serverPort = await listen(t, (socket) => socket.end(Buffer.alloc(sizeBytes)));
  const tunnelPort = await listen(t, (caller) =>
    spliceSockets.spliceSockets(caller, connect(t, serverPort), bytes),
  );
  const reader = connect(t, tunnelPort);
  let readBytes = 0;
  reader.on("data", (chunk) => (readBytes += chunk.length));
  await new Promise((resolve) => reader.once("close", resolve));
  t.equal(readBytes, sizeBytes);
  t.equal(bytes.usedBytes, 0);
  t.equal(bytes.evictionsOf(byteBudgets.ByteHolder.Tunnels), 0);
});
