import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";
import * as tunnelPeers from "./index.js";

const { LinkState } = types;
const { TunnelOutcome } = tunnelPeers;

function peer(
  vmName: string,
  dataCentre: string,
  linkState = types.LinkState.Reaches,
): types.TunnelPeer {
  return { vmName, dataCentre, linkState, host: "10.0.0.1", port: 1 };
}

const ROUTE = { ownDataCentre: "dc-a", serverDataCentre: "dc-b" };

type Outcomes = Readonly<Record<string, tunnelPeers.TunnelOutcome>>;

function history(peers: Outcomes = {}, dataCentres: Outcomes = {}): tunnelPeers.TunnelHistory {
  return {
    outcomeOfPeer: (name) => peers[name] ?? TunnelOutcome.None,
    outcomeOfDataCentre: (name) => dataCentres[name] ?? TunnelOutcome.None,
  };
}

function select(
  peers: readonly types.TunnelPeer[],
  outcomes = history(),
  random = randoms.createRandom(1),
): readonly string[] {
  const selected = tunnelPeers.selectTunnelPeers(peers, ROUTE, outcomes, random);
  return selected.map(({ vmName }) => vmName);
}

tap.test("peers that reach servers go first, then those that are near", async (t) => {
  const peers = [
    peer("c", "dc-c"),
    peer("cut", "dc-a", LinkState.Failing),
    peer("idle", "dc-a", LinkState.Unknown),
    peer("b", "dc-b"),
    peer("a", "dc-a"),
  ];
  t.same(select(peers), ["a", "b", "c", "idle", "cut"]);
});

tap.test("the load of a cut VM is spread over all peers that are alike", async (t) => {
  const peers = ["p1", "p2", "p3", "p4"].map((name) => peer(name, "dc-a"));
  const random = randoms.createRandom(7);
  const counts = new Map<string, number>();
  for (let index = 0; index < 400; index += 1) {
    const first = select(peers, history(), random)[0] ?? "";
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  // An equal share is 100; the bounds are four standard deviations away.
  for (const { vmName } of peers) {
    const count = counts.get(vmName) ?? 0;
    t.ok(count > 65 && count < 135, `${vmName}: ${count}`);
  }
});

tap.test("the data centres come in turn, as their VMs may be cut off together", async (t) => {
  const peers = ["dc-a", "dc-b", "dc-c"].flatMap((dataCentre) =>
    Array.from({ length: 10 }, (_, index) => peer(`${dataCentre}-${index}`, dataCentre)),
  );
  const dataCentres = select(peers).map((name) => name.slice(0, 4));
  t.same(dataCentres.slice(0, 6), ["dc-a", "dc-b", "dc-c", "dc-a", "dc-b", "dc-c"]);
  t.equal(dataCentres.length, constants.MAX_TUNNEL_PEERS_COUNT);
});

tap.test(
  "a data centre that has opened a tunnel goes first, one that refused goes last",
  async (t) => {
    const peers = [peer("a", "dc-a"), peer("b", "dc-b"), peer("c", "dc-c")];
    const outcomes = { "dc-a": TunnelOutcome.Refused, "dc-c": TunnelOutcome.Opened };
    t.same(select(peers, history({}, outcomes)), ["c", "b", "a"]);
  },
);

tap.test("what a peer has shown goes before what it reports", async (t) => {
  const peers = [
    peer("refused", "dc-a"),
    peer("unknown", "dc-a", LinkState.Unknown),
    peer("opened", "dc-a", LinkState.Unknown),
  ];
  const outcomes = { refused: TunnelOutcome.Refused, opened: TunnelOutcome.Opened };
  t.same(select(peers, history(outcomes)), ["opened", "unknown", "refused"]);
});

tap.test("few peers are asked if all report that their links fail", async (t) => {
  const peers = Array.from({ length: 30 }, (_, index) =>
    peer(`p${index}`, `dc-${index % 3}`, LinkState.Failing),
  );
  t.equal(select(peers).length, constants.MAX_FAILING_PEERS_COUNT);
});
