/** Timeout for connecting to a server. The platform's data centres are at most 2 ms apart. */
export const CONNECT_TIMEOUT_MS = 150;

/** Timeout for opening a tunnel, including the peer's connection to the server. */
export const TUNNEL_TIMEOUT_MS = 250;

/** Servers that a VM fails to connect to, with no success in between, before it asks its peers. */
export const MIN_UNREACHABLE_SERVERS_COUNT = 2;

/** Time after peers have reached none of the servers either for which they are not asked again. */
export const TUNNEL_RETRY_DELAY_MS = 1_000;

/** Time for which a peer is not asked again after it has opened no tunnel. */
export const PEER_SUSPENSION_MS = 1_000;

/** Peers that are asked for a tunnel, one after the other. */
export const MAX_TUNNEL_PEERS_COUNT = 3;

/** Interval at which a VM that is cut off tries its own links again. */
export const LINK_PROBE_INTERVAL_MS = 500;

/** Most tunnels that a VM serves at a time: a fraction of its descriptors, two of which each uses. */
export const MAX_SERVED_TUNNELS_COUNT = 400;
