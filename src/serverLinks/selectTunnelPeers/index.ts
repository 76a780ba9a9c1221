import type * as randoms from "../../_lib/random/index.js";
import type * as types from "../types.js";

/** Where a tunnel begins and ends. */
export interface TunnelRoute {
  readonly ownDataCentre: string;
  readonly serverDataCentre: string;
}

/**
 * Orders the peers by who is asked first for a tunnel: those that reach servers, then those of this
 * VM's data centre, then those of the server's. Peers that are alike come in random order, so that
 * the load of a VM that is cut off is spread over all of them.
 */
export function selectTunnelPeers(
  peers: readonly types.TunnelPeer[],
  { ownDataCentre, serverDataCentre }: TunnelRoute,
  random: randoms.RandomSource,
): readonly types.TunnelPeer[] {
  const preferred = [ownDataCentre, serverDataCentre];
  const ranked = peers.map((peer) => {
    const place = preferred.indexOf(peer.dataCentre);
    const distance = place === -1 ? preferred.length : place;
    return { peer, rank: (peer.reachesServers ? 0 : 10) + distance, order: random.next() };
  });
  ranked.sort((left, right) => left.rank - right.rank || left.order - right.order);
  return ranked.map(({ peer }) => peer);
}
