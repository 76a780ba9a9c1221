/** Longest wait for an answer from another VM of the fleet. */
export const PEER_CALL_TIMEOUT_MS = 300;

/** Longest wait for an engine's load report. */
export const LOAD_REPORT_TIMEOUT_MS = 1_000;

/** Interval at which a home asks its engines for load reports. */
export const LOAD_POLL_INTERVAL_MS = 500;

/** Load reports missed in a row before an engine counts as dead. */
export const MISSED_REPORTS_COUNT = 3;

/** Base interval at which observed output lengths are sent; multiplied by the recipient count. */
export const LENGTHS_SEND_INTERVAL_PER_PEER_MS = 60_000;

/** Interval at which a VM checks whether observed output lengths are due to be sent. */
export const LENGTHS_CHECK_INTERVAL_MS = 1_000;

/** Interval at which generations, runs and replicas are checked for silence and expiry. */
export const TIMEOUT_CHECK_INTERVAL_MS = 50;

/** Lower bound of a stream's silence timeout after its first token. */
export const MIN_PROGRESS_TIMEOUT_MS = 250;

/** Upper bound of a stream's silence timeout after its first token. */
export const MAX_PROGRESS_TIMEOUT_MS = 5_000;

/** Silence timeout of a stream, in smoothed intervals between its frames. */
export const PROGRESS_TIMEOUT_INTERVALS_COUNT = 8;

/** Timeout of the first token of an empty prompt. */
export const FIRST_TOKEN_TIMEOUT_MS = 2_000;

/** Added to the timeout of the first token for each token of the prompt. */
export const FIRST_TOKEN_TIMEOUT_PER_PROMPT_TOKEN_MS = 2;

/** Weight of the newest interval in the moving average of a stream's intervals between frames. */
export const INTERVAL_SMOOTHING_FACTOR = 0.1;

/** Resumed connections in a row without a token before an engine counts as stalled. */
export const MAX_RESUMES_WITHOUT_TOKEN_COUNT = 3;

/** Time after which a waiting request is dispatched again if no capacity was offered to it. */
export const WAITING_RETRY_MS = 1_000;

/** Interval at which a VM reports its waiting requests to homes. */
export const WAITING_REPORT_INTERVAL_MS = 250;

/** Maximum number of homes to which one VM reports its waiting requests. */
export const MAX_NOTIFIED_HOMES_COUNT = 16;

/** Time after which an engine's capacity is offered again if no request has used the last offer. */
export const CAPACITY_OFFER_TIMEOUT_MS = 100;

/** Time during which a VM that did not answer is not chosen as home or standby. */
export const VM_AVOIDANCE_MS = 3_000;

/** Time during which an engine that failed or accepted no work is not chosen. */
export const ENGINE_AVOIDANCE_MS = 3_000;

/** Longest wait for a standby's acknowledgement before another standby is chosen. */
export const REPLICA_ACK_TIMEOUT_MS = 500;

/** Retention of a replica after its last update, in addition to the entry's `keepFinishedMs`. */
export const REPLICA_RETENTION_MS = 60_000;

/** Time without contact from a dead owner after which a home may take its generation over. */
export const OWNER_SILENCE_TIMEOUT_MS = 5_000;

/** Time that callers have to re-attach before a holder claims a generation without an owner. */
export const CLAIM_DELAY_MS = 500;

/** Tokens that a home may read beyond those delivered to callers before it pauses reading. */
export const CREDIT_WINDOW_TOKENS = 4_096;

/** Longest time that a read of another VM's generation waits for tokens. */
export const READ_WAIT_MS = 1_000;

/** Interval at which a home checks which engine views are due to be sent. */
export const VIEW_CHECK_INTERVAL_MS = 1_000;

/** Minimum interval of engine views per recipient, so that the sending rate stays constant. */
export const VIEW_INTERVAL_PER_VM_MS = 100;

/** Maximum number of engine changes sent per round, over all recipients; the largest go first. */
export const MAX_VIEW_CHANGES_PER_ROUND_COUNT = 240;

/** Interval of view updates that report no change. */
export const VIEW_KEEPALIVE_INTERVAL_MS = 4_000;

/** Interval at which the views of all engines are sent, changed or not. */
export const VIEW_REFRESH_INTERVAL_MS = 300_000;

/** Interval at which other data centres receive the engines with most free memory. */
export const RELAY_INTERVAL_MS = 8_000;

/** Maximum number of one home's engines whose views are sent to other data centres. */
export const MAX_RELAYED_ENGINES_PER_HOME_COUNT = 4;

/** Maximum number of engines per set of loaded models whose views cross data centres. */
export const MAX_RELAYED_ENGINES_PER_MODEL_SET_COUNT = 2;

/** Age after which an engine's view is ignored. */
export const VIEW_EXPIRY_MS = 10_000;

/** Retry-after estimate for callers where no better one is known. */
export const DEFAULT_RETRY_AFTER_MS = 2_000;
