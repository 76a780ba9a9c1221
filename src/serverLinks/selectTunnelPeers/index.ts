import type * as randoms from "../../_lib/random/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** Where a tunnel begins and ends. */
export interface TunnelRoute {
  readonly ownDataCentre: string;
  readonly serverDataCentre: string;
}

/** How a peer or data centre has answered when it was last asked for a tunnel. */
export enum TunnelOutcome {
  Opened = "opened",
  /** It was not asked lately. */
  None = "none",
  /** It did not reach the server. */
  Refused = "refused",
}

/** Recent outcomes of tunnel requests, by peer and by data centre. */
export interface TunnelHistory {
  readonly outcomeOfPeer: (vmName: string) => TunnelOutcome;
  readonly outcomeOfDataCentre: (dataCentre: string) => TunnelOutcome;
}

const RANK_BY_OUTCOME: Readonly<Record<TunnelOutcome, number>> = {
  [TunnelOutcome.Opened]: 0,
  [TunnelOutcome.None]: 1,
  [TunnelOutcome.Refused]: 2,
};

/** Order in which peers are asked, lowest first; within a rank the data centres alternate. */
enum Rank {
  Promising = 0,
  /** It did not reach a server when it was last asked. */
  Refused = 1,
  Failing = 2,
}

const RANK_BY_STATE: Readonly<Record<types.LinkState, Rank>> = {
  [types.LinkState.Reaches]: Rank.Promising,
  [types.LinkState.Unknown]: Rank.Promising,
  [types.LinkState.Failing]: Rank.Failing,
};

/**
 * Selects the peers that are asked for a tunnel, in order: first those whose links are not known to fail,
 * as they reported or as tunnels showed. Among them the data centres come in turn, because VMs of one data
 * centre are often cut off together. Within a data centre, peers that are known to reach servers go first;
 * else the order is random, so that the load of VMs that are cut off is spread over all peers.
 */
export function selectTunnelPeers(
  peers: readonly types.TunnelPeer[],
  { ownDataCentre, serverDataCentre }: TunnelRoute,
  history: TunnelHistory,
  random: randoms.RandomSource,
): readonly types.TunnelPeer[] {
  const near = [ownDataCentre, serverDataCentre];
  const rankOfDataCentre = (dataCentre: string): number => {
    const place = near.indexOf(dataCentre);
    const distance = place === -1 ? near.length : place;
    return RANK_BY_OUTCOME[history.outcomeOfDataCentre(dataCentre)] * (near.length + 1) + distance;
  };
  const ranked = peers.map((peer) => {
    const rank = rankPeer(peer, history);
    const order = random.next() + (isKnownToReach(peer, history) ? 0 : 1);
    return { peer, rank, dataCentreRank: rankOfDataCentre(peer.dataCentre), order };
  });
  ranked.sort((left, right) => left.rank - right.rank || left.order - right.order);
  const countByGroup = new Map<string, number>();
  const placed = ranked.map((entry) => {
    const group = `${entry.rank} ${entry.peer.dataCentre}`;
    const turn = countByGroup.get(group) ?? 0;
    countByGroup.set(group, turn + 1);
    return { ...entry, turn };
  });
  placed.sort(
    (left, right) =>
      left.rank - right.rank ||
      left.turn - right.turn ||
      left.dataCentreRank - right.dataCentreRank ||
      left.order - right.order,
  );
  const isAnyPromising = placed.some(({ rank }) => rank !== Rank.Failing);
  const maxCount = isAnyPromising
    ? constants.MAX_TUNNEL_PEERS_COUNT
    : constants.MAX_FAILING_PEERS_COUNT;
  return placed.slice(0, maxCount).map(({ peer }) => peer);
}

function rankPeer({ vmName, linkState }: types.TunnelPeer, history: TunnelHistory): Rank {
  const outcome = history.outcomeOfPeer(vmName);
  if (outcome === TunnelOutcome.Opened) return Rank.Promising;
  const rank = RANK_BY_STATE[linkState];
  return outcome === TunnelOutcome.Refused && rank === Rank.Promising ? Rank.Refused : rank;
}

function isKnownToReach({ vmName, linkState }: types.TunnelPeer, history: TunnelHistory): boolean {
  const hasOpened = history.outcomeOfPeer(vmName) === TunnelOutcome.Opened;
  return hasOpened || linkState === types.LinkState.Reaches;
}
