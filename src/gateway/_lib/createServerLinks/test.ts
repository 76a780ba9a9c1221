import tap from "tap";

import * as randoms from "../../../_lib/random/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import * as servers from "../../../servers/index.js";
import * as createServerLinks from "./index.js";

const ENTRY: servers.ServerEntry = {
  id: "e1",
  serviceName: "s",
  host: "127.0.0.1",
  port: 9_000,
  dataCentre: "dc-a",
  slotsCount: 1,
  state: servers.ServerState.Ready,
  coldRemainingMs: 0,
  bornAtWallMs: 1,
  sequence: 1,
};

const PEER = { vmName: "vm-2", host: "127.0.0.2" };

tap.test("a peer gets no tunnel to a server of an evacuated data centre", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const directory = new servers.ServerDirectory(clock);
  let dialsCount = 0;
  const dial = (): never => {
    dialsCount += 1;
    throw new Error("dialled");
  };
  const random = randoms.createRandom(1);
  const { tunnelServer } = createServerLinks.createServerLinks({
    settings: { vmName: "vm-1", dataCentre: "dc-a", peers: { host: "127.0.0.1" } },
    ports: { clock, log: diagnostics.NOOP_DECISION_LOG, dial, random },
    directory,
    backpressure: new servers.ServerBackpressure(clock, () => ({ rank: 0, vmsCount: 1 })),
    listPeers: () => [PEER],
    isStopping: () => false,
  } as unknown as createServerLinks.LinksContext);
  directory.apply(ENTRY);
  directory.evacuations.apply("dc-a", true);
  const opened = await tunnelServer.open(PEER, ENTRY, new AbortController().signal);
  t.equal(opened._unsafeUnwrapErr().denial, serverLinks.TunnelDenial.UnavailableServer);
  t.equal(dialsCount, 0);
});

// Guards against tunnels that a stopping VM opens, and cuts off at its end.
tap.test("a stopping VM opens no tunnel to a peer", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const directory = new servers.ServerDirectory(clock);
  const { tunnelServer } = createServerLinks.createServerLinks({
    settings: { vmName: "vm-1", dataCentre: "dc-a", peers: { host: "127.0.0.1" } },
    ports: { clock, log: diagnostics.NOOP_DECISION_LOG, random: randoms.createRandom(1) },
    directory,
    backpressure: new servers.ServerBackpressure(clock, () => ({ rank: 0, vmsCount: 1 })),
    listPeers: () => [PEER],
    isStopping: () => true,
  } as unknown as createServerLinks.LinksContext);
  directory.apply(ENTRY);
  const opened = await tunnelServer.open(PEER, ENTRY, new AbortController().signal);
  t.equal(opened._unsafeUnwrapErr().denial, serverLinks.TunnelDenial.Overloaded);
});
