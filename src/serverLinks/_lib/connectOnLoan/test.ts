import * as http from "node:http";
import type * as net from "node:net";

import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as servers from "../../../servers/index.js";
import * as tunnelRequesters from "../../createTunnelRequester/index.js";
import * as types from "../../types.js";
import * as loans from "./index.js";

const SERVER: servers.ServerEntry = {
  ...{ id: "s1", serviceName: "s", host: "10.0.0.9", port: 80, dataCentre: "dc-a" },
  ...{ slotsCount: 1, coldRemainingMs: 0, bornAtWallMs: 1, sequence: 1 },
  state: servers.ServerState.Ready,
};

// Guards against tunnels of earlier releases, which know no loans, that are taken for places.
tap.test("a peer that opens a tunnel without lending a place lends none", async (t) => {
  const peerServer = http.createServer();
  peerServer.on("connect", (_message, socket: net.Socket) => {
    socket.on("error", () => undefined);
    socket.write("HTTP/1.1 200 Connection Established\r\n\r\n");
  });
  await new Promise<void>((resolve) => peerServer.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    peerServer.close();
    peerServer.closeAllConnections();
  });
  const { port } = peerServer.address() as net.AddressInfo;
  const peer = {
    ...{ vmName: "vm-2", host: "127.0.0.1", port, dataCentre: "dc-a" },
    linkState: types.LinkState.Reaches,
  };
  const requestTunnel = tunnelRequesters.createTunnelRequester(
    new virtualClocks.VirtualClock(),
    "vm-1",
  );
  const { signal } = new AbortController();
  const opened = await loans.connectOnLoan(
    { listPeers: () => [peer], requestTunnel },
    "vm-2",
    SERVER,
    { requestId: "r1", signal, loan: { waitMs: 120, forMs: 1_000 } },
  );
  if (opened.isOk()) opened.value.socket.destroy();
  t.ok(opened.isErr(), "nobody has counted this request");
});
