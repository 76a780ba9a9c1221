import * as http from "node:http";
import type * as net from "node:net";

import tap from "tap";

import * as types from "../types.js";
import * as peerStatements from "./index.js";

// Guards against an answer to a statement that is read without end, and without a bound.
tap.test("the body of a peer's answer to a statement is not read", async (t) => {
  let openCount = 0;
  let receivedText = "";
  const server = http.createServer((request, response) => {
    openCount += 1;
    request.on("data", (chunk: Buffer) => (receivedText += chunk.toString()));
    const timer = setInterval(() => response.write(Buffer.alloc(100_000)), 10);
    response.on("close", () => {
      openCount -= 1;
      clearInterval(timer);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  const peer = {
    vmName: "vm-1",
    host: "127.0.0.1",
    port,
    dataCentre: "dc-a",
    linkState: types.LinkState.Failing,
  };
  const message = { serverId: "s1", bornAtWallMs: 5, isLeaving: true, retryAfterMs: null };
  await peerStatements.sendStatement(peer, message);
  await new Promise((resolve) => setTimeout(resolve, 500));
  t.equal(openCount, 0, "the connection is closed");
  t.same(JSON.parse(receivedText), message);
});

// Guards against an error that nobody handles, for each answer of a server that such a peer has reached.
tap.test("a statement to a peer whose address is none is lost", async (t) => {
  const message = { serverId: "s1", bornAtWallMs: 5, isLeaving: true, retryAfterMs: null };
  const peer = { vmName: "vm-1", dataCentre: "dc-a", linkState: types.LinkState.Failing };
  for (const address of [
    { host: "!$%", port: 80 },
    { host: "10.0.0.1", port: 99_999 },
  ])
    await t.resolves(peerStatements.sendStatement({ ...peer, ...address }, message));
});
