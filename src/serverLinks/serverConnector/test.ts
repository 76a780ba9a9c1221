import * as net from "node:net";

import * as neverthrow from "neverthrow";
import tap, { type Test } from "tap";

import * as clocks from "../../_lib/clock/index.js";
import * as randoms from "../../_lib/random/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as servers from "../../servers/index.js";
import * as types from "../types.js";
import * as serverConnectors from "./index.js";

const PEER: types.TunnelPeer = {
  vmName: "vm-2",
  dataCentre: "dc-a",
  host: "127.0.0.1",
  port: 1,
  linkState: types.LinkState.Reaches,
};

const OPTIONS = { requestId: "r1", signal: new AbortController().signal };

/** How the peer answers a request for a tunnel: it refuses, or its process has ended. */
const REFUSALS = {
  refuses: { cause: "status 503", hasAnswered: true },
  ended: { cause: "connect ECONNREFUSED", hasAnswered: false },
} as const;

function createConnector(peer: keyof typeof REFUSALS): serverConnectors.ServerConnector {
  const failure = {
    ...REFUSALS[peer],
    refusal: types.TunnelRefusal.PeerUnavailable,
    referredVm: null,
    doesServerRefuse: false,
  };
  return new serverConnectors.ServerConnector({
    clock: new clocks.SystemClock(),
    random: randoms.createRandom(1),
    log: diagnostics.NOOP_DECISION_LOG,
    vmName: "vm-1",
    dataCentre: "dc-a",
    dial: serverConnectors.dialTcp,
    listPeers: () => [],
    listServers: () => [],
    requestTunnel: async () => neverthrow.err(failure),
  });
}

/** Listens on a free port, and returns the entry of a server there. */
async function listen(t: Test): Promise<{ entry: servers.ServerEntry; end: () => void }> {
  const listener = net.createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => listener.listen(0, "127.0.0.1", resolve));
  t.teardown(() => listener.close());
  const entry: servers.ServerEntry = {
    id: "s1",
    serviceName: "s",
    host: "127.0.0.1",
    port: (listener.address() as net.AddressInfo).port,
    dataCentre: "dc-a",
    slotsCount: 1,
    state: servers.ServerState.Ready,
    coldRemainingMs: 0,
    bornAtWallMs: 1,
    sequence: 1,
  };
  return { entry, end: () => listener.close() };
}

// Guards against mistaking the termination of a server process for the regular end of its answer.
tap.test("a server is still up until it refuses connections", async (t) => {
  const connector = createConnector("refuses");
  const { entry, end } = await listen(t);
  t.equal(await connector.isStillUp(entry, null, OPTIONS), true);
  end();
  t.equal(await connector.isStillUp(entry, null, OPTIONS), false);
});

tap.test("an answer through a peer needs the peer's process as well as the server's", async (t) => {
  const { entry, end } = await listen(t);
  t.equal(await createConnector("ended").isStillUp(entry, PEER, OPTIONS), false);
  const refusing = createConnector("refuses");
  t.equal(await refusing.isStillUp(entry, PEER, OPTIONS), true, "a peer that stops has answered");
  end();
  t.equal(await refusing.isStillUp(entry, PEER, OPTIONS), false);
});
