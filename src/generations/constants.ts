/** Longest wait for an answer from another VM of the fleet. */
export const PEER_CALL_TIMEOUT_MS = 300;

/** Longest wait for an engine's load report. */
export const LOAD_REPORT_TIMEOUT_MS = 1_000;

/** Interval at which a home asks its engines for load reports. */
export const LOAD_POLL_INTERVAL_MS = 500;

/** Load reports missed in a row before an engine counts as dead. */
export const MISSED_REPORTS_COUNT = 3;

/** Time between two accounts of observed output lengths, for each VM that is told. */
export const LENGTHS_INTERVAL_PER_PEER_MS = 60_000;

/** Interval at which a VM looks whether such an account is due. */
export const LENGTHS_CHECK_INTERVAL_MS = 1_000;

/** Interval at which streams are checked for silence. */
export const WATCH_INTERVAL_MS = 50;

/** Shortest silence that may count as a broken stream. */
export const MIN_PROGRESS_BOUND_MS = 250;

/** Longest silence before a stream is resumed on a new connection. */
export const MAX_PROGRESS_BOUND_MS = 5_000;

/** A stream is silent after this many of its usual intervals between frames. */
export const PROGRESS_BOUND_INTERVALS = 8;

/** Time allowed for the first token besides the prompt's own. */
export const FIRST_TOKEN_BOUND_MS = 2_000;

/** Time allowed for the first token per token of prompt. */
export const FIRST_TOKEN_BOUND_PER_PROMPT_TOKEN_MS = 2;

/** Weight of the newest interval in a stream's learned interval between frames. */
export const INTERVAL_SMOOTHING = 0.1;

/** Resumed connections in a row without a token before an engine counts as stalled. */
export const STALLED_RESUMES_COUNT = 3;

/** How long a waiting request goes without an announcement before it asks a home again. */
export const WAITING_RETRY_MS = 1_000;

/** Interval at which homes are told what waits. */
export const TELL_WAITING_INTERVAL_MS = 250;

/** Most homes that one VM tells what it has waiting. */
export const MAX_TOLD_HOMES = 16;

/** How long an announced room is kept for the VM it was announced to. */
export const ROOM_OFFER_MS = 100;

/** How long a VM that did not answer is passed over as a home. */
export const AVOID_VM_MS = 3_000;

/** How long an engine that failed is passed over, unless it reports again. */
export const AVOID_ENGINE_MS = 3_000;

/** Longest wait for a copy's acknowledgement before another second holder is chosen. */
export const COPY_ACK_TIMEOUT_MS = 500;

/** How long a second copy outlives the last sign of its generation, besides its keeping time. */
export const COPY_KEPT_MS = 60_000;

/** How long a home runs on without hearing from the owner before it looks for the second holder. */
export const ORPHAN_AFTER_MS = 5_000;

/** How long a generation is left to callers who re-attach before a holder claims it by itself. */
export const CLAIM_DELAY_MS = 500;

/** Tokens that may be in flight towards a slow caller before its stream is held back. */
export const CREDIT_WINDOW_TOKENS = 4_096;

/** Longest time that a read of another VM's generation waits for tokens. */
export const READ_WAIT_MS = 1_000;

/** Interval at which changed engine views are told to other VMs. */
export const VIEW_INTERVAL_MS = 1_000;

/** Added to the interval of engine views for each VM told, so that a round costs the same. */
export const VIEW_INTERVAL_PER_VM_MS = 100;

/** Engine changes told in one round, all recipients together; the largest changes go first. */
export const VIEW_CHANGES_PER_ROUND = 240;

/** Longest time without a word about unchanged engines. */
export const VIEW_KEEPALIVE_MS = 4_000;

/** Interval at which engine views are told whole, changed or not. */
export const VIEW_REFRESH_MS = 300_000;

/** Interval at which other data centres are told of the engines with most room. */
export const RELAY_INTERVAL_MS = 8_000;

/** Engines of one home that other data centres are told of. */
export const RELAYED_ENGINES_PER_HOME = 4;

/** Engines per model of other data centres that a relay passes on. */
export const RELAYED_ENGINES_PER_MODEL = 2;

/** Age after which an engine's view is no longer believed. */
export const VIEW_EXPIRY_MS = 10_000;

/** Estimate of when to try again where nothing better is known. */
export const DEFAULT_RETRY_AFTER_MS = 2_000;
