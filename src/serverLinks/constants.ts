/** Timeout for connecting to a server. The platform's data centres are at most 2 ms apart. */
export const CONNECT_TIMEOUT_MS = 150;

/** Connections that are tried before a server that answers none of them counts as ended. */
export const MAX_UP_PROBES_COUNT = 3;

/** Timeout for opening a tunnel, including the peer's connection to the server. */
export const TUNNEL_TIMEOUT_MS = 250;

/** Longest time for which a peer may be asked to wait for a place to lend; within the timeout of a tunnel. */
export const MAX_LOAN_WAIT_MS = 150;

/** Longest loan of a place: no call at a plain server takes longer. */
export const MAX_LOAN_MS = 600_000;

/** Servers that a VM fails to connect to, with no success in between, before it asks its peers. */
export const MIN_UNREACHABLE_SERVERS_COUNT = 2;

/** Age above which the outcome of a connection no longer tells anything about a VM's links. */
export const LINK_EVIDENCE_LIFETIME_MS = 2_000;

/**
 * Delay after which peers are asked again when they have reached none of the servers either. Each
 * further time doubles it, so that the end of all servers causes few questions.
 */
export const MIN_TUNNEL_RETRY_DELAY_MS = 250;
/** Upper bound on that delay. */
export const MAX_TUNNEL_RETRY_DELAY_MS = 1_000;

/** Time for which a peer is not asked again after it has opened no tunnel for a reason of its own. */
export const PEER_SUSPENSION_MS = 1_000;

/** Time for which the outcome of asking a peer affects the order in which others are asked. */
export const TUNNEL_OUTCOME_LIFETIME_MS = 5_000;

/** Peers that are selected for one tunnel. */
export const MAX_TUNNEL_PEERS_COUNT = 8;

/** Peers that are asked for one tunnel, including those that other peers name. */
export const MAX_ASKED_PEERS_COUNT = 16;

/** Peers that are asked for one tunnel if all of them report that their links fail. */
export const MAX_FAILING_PEERS_COUNT = 3;

/** Peers that are asked at the same time whether a server has ended. */
export const PROBED_PEERS_COUNT = 3;

/**
 * Time within which they have to answer. It allows for their connections to the server, and for busy peers:
 * without an answer the end of a server is not noticed, and work that ends servers is sent again.
 */
export const PEER_PROBE_TIMEOUT_MS = 250;

/** Time after which the next peer is asked too if the last one has not answered. */
export const TUNNEL_STAGGER_MS = 40;

/** Interval at which a VM that is cut off tries its own links again. */
export const LINK_PROBE_INTERVAL_MS = 500;

/** Most tunnels that a VM serves at a time: a fraction of its descriptors, two of which each uses. */
export const MAX_SERVED_TUNNELS_COUNT = 400;

/** Time without a byte of an answer after which a server may be silent towards this VM. */
export const SILENCE_TIMEOUT_MS = 250;

/** Interval at which a VM towards which the servers are silent tries its own links with a call. */
export const SILENCE_TRIAL_INTERVAL_MS = 1_000;

/**
 * Time without a trial after which the servers are no longer taken to be silent, where no call comes
 * that may be repeated.
 */
export const SILENCE_BELIEF_LIFETIME_MS = 10_000;
