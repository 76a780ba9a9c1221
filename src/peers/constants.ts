import type * as types from "./types.js";

/** Size of the length prefix of each frame. */
export const LENGTH_PREFIX_BYTES = 4;

/** Largest frame accepted before the other end is authenticated. */
export const MAX_HANDSHAKE_FRAME_BYTES = 1_024;

/** Interval at which outbound connections are checked for silence and idleness. */
export const LIVENESS_CHECK_INTERVAL_MS = 200;

/** Queued frames are joined into writes of at most this size; a larger frame is written alone. */
export const MAX_WRITE_BYTES = 262_144;

/** Default values of the options that have one. */
export const DEFAULT_PEER_OPTIONS: Omit<
  types.PeerOptions,
  "vmName" | "listenAddress" | "listenPort" | "fleetKey"
> = {
  tls: null,
  maxFrameBytes: 16_777_216,
  maxQueuedBytes: 33_554_432,
  maxQueuedCount: 65_536,
  maxPendingCount: 16_384,
  maxUnauthenticatedCount: 128,
  connectTimeoutMs: 1_000,
  pingAfterMs: 400,
  silenceTimeoutMs: 1_200,
  idleCloseMs: 60_000,
  minBackoffMs: 50,
  maxBackoffMs: 2_000,
};
