import * as events from "node:events";
import * as net from "node:net";

import tap, { type Test } from "tap";

import * as disposableStore from "../../_lib/disposableStore/index.js";
import * as localDaemons from "../../../standins/daemon/index.js";

const LIMITS = "maxHeaderBytes: 2048, maxConnections: 2, requestTimeoutMs: 400";

async function startLimitedDaemon(t: Test): Promise<URL> {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const { daemon } = await localDaemons.startLocalDaemon(store, { limitsYaml: LIMITS });
  return new URL(daemon.callerUrl);
}

function connect(t: Test, url: URL): net.Socket {
  const socket = net.connect(Number(url.port), url.hostname);
  socket.on("error", () => undefined);
  t.teardown(() => socket.destroy());
  return socket;
}

/** Returns everything that the server sends before it closes the connection. */
async function readUntilClosed(socket: net.Socket): Promise<string> {
  let received = "";
  socket.setEncoding("utf8").on("data", (text: string) => (received += text));
  await events.EventEmitter.once(socket, "close");
  return received;
}

tap.test("a header block above the limit is refused with 431", async (t) => {
  const url = await startLimitedDaemon(t);
  const headers = { "x-long": "x".repeat(4_000) };
  const response = await fetch(new URL("/healthz", url), { headers });
  t.equal(response.status, 431);
});

tap.test("a request that is not complete within the timeout is refused with 408", async (t) => {
  const url = await startLimitedDaemon(t);
  const socket = connect(t, url);
  socket.write("POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 100\r\n\r\n{");
  t.match(await readUntilClosed(socket), /^HTTP\/1\.1 408/);
});

tap.test("connections above the limit are closed, and those within it are served", async (t) => {
  const url = await startLimitedDaemon(t);
  const openConnections = [connect(t, url), connect(t, url)];
  await Promise.all(openConnections.map((socket) => events.EventEmitter.once(socket, "connect")));
  const surplus = connect(t, url);
  t.equal(await readUntilClosed(surplus), "", "closed without an answer");
  openConnections[0]?.write("GET /healthz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  t.match(await readUntilClosed(openConnections[0]!), /^HTTP\/1\.1 200/);
});
