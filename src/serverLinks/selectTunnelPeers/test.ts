import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import type * as types from "../types.js";
import * as tunnelPeers from "./index.js";

function peer(vmName: string, dataCentre: string, reachesServers = true): types.TunnelPeer {
  return { vmName, dataCentre, reachesServers, host: "10.0.0.1", port: 1 };
}

const ROUTE = { ownDataCentre: "dc-a", serverDataCentre: "dc-b" };

tap.test("peers that reach servers go first, then those that are near", async (t) => {
  const peers = [
    peer("c", "dc-c"),
    peer("cut", "dc-a", false),
    peer("b", "dc-b"),
    peer("a", "dc-a"),
  ];
  const selected = tunnelPeers.selectTunnelPeers(peers, ROUTE, randoms.createRandom(1));
  t.same(
    selected.map(({ vmName }) => vmName),
    ["a", "b", "c", "cut"],
  );
});

tap.test("the load of a cut VM is spread over all peers that are alike", async (t) => {
  const peers = ["p1", "p2", "p3", "p4"].map((name) => peer(name, "dc-a"));
  const random = randoms.createRandom(7);
  const counts = new Map<string, number>();
  for (let index = 0; index < 400; index += 1) {
    const first = tunnelPeers.selectTunnelPeers(peers, ROUTE, random)[0]?.vmName ?? "";
    counts.set(first, (counts.get(first) ?? 0) + 1);
  }
  // An equal share is 100; the bounds are four standard deviations away.
  for (const { vmName } of peers) {
    const count = counts.get(vmName) ?? 0;
    t.ok(count > 65 && count < 135, `${vmName}: ${count}`);
  }
});
