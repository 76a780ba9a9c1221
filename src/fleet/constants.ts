import type * as types from "./types.js";

/** The largest datagram that is sent; fits the usual MTU. */
export const MAX_DATAGRAM_BYTES = 1_200;

/** Members that are asked to probe a member that has not answered. */
export const INDIRECT_PROBES_COUNT = 2;

/** Members of each data centre that exchange heartbeats with other data centres. */
export const RELAYS_PER_DATA_CENTRE_COUNT = 2;

/** Heartbeats that carry a change: this many for each decimal digit of the number of members. */
export const GOSSIP_MULTIPLIER = 4;

/** Most changes that are piggybacked on one heartbeat. */
export const MAX_UPDATES_PER_HEARTBEAT = 6;

/** Shortest interval between comparisons of whole member tables (anti-entropy). */
export const SYNC_INTERVAL_MS = 2_000;

/** Shortest interval between pings that carry the ages of contacts with other data centres. */
export const CONTACT_AGES_INTERVAL_MS = 1_500;

/** Share of a relay's heartbeats that go to any member of a data centre instead of its relays. */
export const RELAY_EXPLORATION_RATIO = 0.25;

/** Most listed VMs, not yet members, that are probed at each heartbeat interval. */
export const SEED_PROBES_COUNT = 3;

/** Interval at which one dead member is probed again. */
export const DEAD_RETRY_INTERVAL_MS = 5_000;

/** The longest interval between probes of a listed VM that never answers. */
export const MAX_SEED_BACKOFF_MS = 60_000;

/** Incarnations reserved for a process; the first is its start in seconds times this number. */
export const INCARNATIONS_PER_PROCESS = 1_024;

/** Defaults of the membership options, except those that every VM must set. */
export const DEFAULT_MEMBERSHIP_OPTIONS: Omit<types.MembershipOptions, "self" | "fleetKey"> = {
  heartbeatIntervalMs: 500,
  ackTimeoutMs: 200,
  suspicionMs: 4_000,
  relayIntervalMs: 1_000,
  dataCentreSilenceMs: 5_000,
  dataCentreSilencePerDataCentreMs: 2_000,
  listIntervalMs: 5_000,
  pauseThresholdMs: 2_000,
  joinTimeoutMs: 3_000,
  deadRetentionMs: 7_200_000,
};

/** Defaults of the lease options, except the VM's name. */
export const DEFAULT_LEASE_OPTIONS: Omit<types.LeaseOptions, "vmName"> = {
  termMs: 15_000,
  renewIntervalMs: 5_000,
  marginMs: 5_000,
  retryIntervalMs: 500,
};
