/** Count of output length buckets per doubling of the length. */
export const BUCKETS_PER_OCTAVE = 4;

/** Upper edge of the last output length bucket, which also counts longer outputs. */
export const MAX_LENGTH_TOKENS = 131_072;

/** Count of observations after which the weight of an earlier one has halved. */
export const LENGTH_HALF_LIFE_COUNT = 600;

/** Weight, in observations, of the parent distribution in that of an entry or account. */
export const PARENT_PRIOR_WEIGHT_COUNT = 12;

/** Weight, in observations, of the uniform prior over the logarithmic buckets. */
export const UNIFORM_PRIOR_WEIGHT_COUNT = 2;

/** Share of observations that a length curve may lack before it is rebuilt. */
export const CURVE_TOLERANCE_RATIO = 0.02;

/** Limit of accounts with their own length histograms in one learner. */
export const MAX_ACCOUNT_HISTOGRAMS_COUNT = 4_096;

/** Horizons, in decoding steps from now, at which memory use is forecast. */
export const FORECAST_HORIZONS_STEPS: readonly number[] = [
  0, 16, 32, 48, 64, 80, 96, 112, 128, 160, 192, 224, 256, 320, 384, 448, 512, 640, 768, 896, 1_024,
  1_280, 1_536, 1_792, 2_048, 2_560, 3_072, 3_584, 4_096, 5_120, 6_144, 7_168, 8_192, 10_240,
  12_288, 14_336, 16_384, 20_480, 24_576,
];

/** A generation with a smaller expected memory use at a horizon counts as ended there. */
export const NEGLIGIBLE_SHARE_TOKENS = 8;

/** Count of produced tokens after which a running generation's forecast is recomputed. */
export const REFORECAST_TOKENS = 16;

/** Lower bound of the safety margin of admission, in standard deviations of the memory forecast. */
export const MIN_MARGIN_DEVIATIONS = 1;
/** Upper bound of the safety margin of admission, in standard deviations of the memory forecast. */
export const MAX_MARGIN_DEVIATIONS = 5;
/** Safety margin before any interruption or idle memory was observed. */
export const INITIAL_MARGIN_DEVIATIONS = 3.5;
/** Upper bound of the margin for the interactive class: short outputs, with reserved headroom. */
export const MAX_INTERACTIVE_MARGIN_DEVIATIONS = 0.5;
/** Increase of the safety margin per generation that was preempted or suspended. */
export const MARGIN_RAISE_DEVIATIONS = 0.75;
/**
 * Decrease of the margin per unit of excess idle ratio, when a generation ends while others wait.
 */
export const MARGIN_RELAX_DEVIATIONS = 0.02;
/** Share of memory that may stay idle while generations wait without lowering the margin. */
export const ACCEPTED_IDLE_RATIO = 0.08;

/** Share of memory reserved for the interactive class. */
export const INTERACTIVE_HEADROOM_RATIO = 0.03;

/** Share of memory that admission never allocates. */
export const UNALLOCATED_RATIO = 0.01;

/** Share of memory in use at which the home suspends generations. */
export const SUSPENSION_USED_RATIO = 0.998;

/** Decoding steps by which suspension looks ahead, to act before the engine preempts. */
export const SUSPENSION_LOOKAHEAD_STEPS = 4;

/** Decoding steps of growth for which a suspension frees memory, so that none follows it soon. */
export const SUSPENSION_RELIEF_STEPS = 64;

/** Weight of the newest value in the moving average of the step time. */
export const STEP_TIME_WEIGHT = 0.1;

/** Step time assumed before any is observed. */
export const INITIAL_STEP_TIME_MS = 30;

/**
 * Limit of prompt tokens waiting for prefill on an engine; it bounds the wait of interactive work.
 */
export const MAX_PENDING_PREFILL_TOKENS = 1_024;

/** Least estimated wait for capacity: decoding steps until some generation is likely to end. */
export const MIN_CAPACITY_WAIT_STEPS = 64;

/** Upper bound of estimated waits. */
export const MAX_ESTIMATED_WAIT_MS = 600_000;

/** Waiting time that raises the urgency of a request by one class. */
export const AGEING_MS = 60_000;

/** Most urgent rank that ageing can reach; the interactive class has rank 0 and stays ahead. */
export const MIN_AGED_RANK = 0.5;

/** Limit of requests of one class and model that are checked for one offer of capacity. */
export const MAX_OFFER_SCAN_COUNT = 4;

/** Difference of scores up to which engines count as equal and one is drawn at random. */
export const EQUAL_SCORE_TOLERANCE = 0.05;

/** Score added to an engine in another data centre; lower is better, and a full memory adds 1. */
export const OTHER_DATA_CENTRE_SCORE = 0.08;
/** Score added to an engine that the failure detector suspects. */
export const SUSPECT_SCORE = 1;
/** Score subtracted from an engine that certainly has the whole prefix of the prompt cached. */
export const PREFIX_HIT_SCORE = 0.25;
/** Score added to an engine with the initial step time; proportional to the step time. */
export const SLOW_STEP_SCORE = 0.1;

/**
 * Time after a blocked admission or a suspension in which work counts as waiting for the engine.
 */
export const WAITING_WORK_RETENTION_MS = 1_000;

/**
 * Count of accounts per class and model above which the served tokens of idle ones are forgotten.
 */
export const MAX_REMEMBERED_ACCOUNTS_COUNT = 1_024;

/**
 * Longest delay of a load report, within which a run that has ended still counts as this home's
 * work.
 */
export const REPORT_LAG_LIMIT_MS = 10_000;

/** Limit of prefixes remembered per engine. */
export const MAX_PREFIXES_PER_ENGINE = 2_048;

/** Time without an event after which a prefix is still cached with probability one half. */
export const PREFIX_HALF_LIFE_MS = 60_000;

/** Weight of one event in the moving average of the event loss ratio. */
export const EVENT_LOSS_WEIGHT = 0.02;

/** Prompt tokens that a lightly loaded engine prefills per millisecond. */
export const PREFILL_TOKENS_PER_MS = 10;

/** Time constant of the exponential decay of the prefill load. */
export const PREFILL_LOAD_TIME_CONSTANT_MS = 10_000;

/** Prefill load from which an engine is used for long prompts and not for streaming work. */
export const PREFILL_HEAVY_RATIO = 0.3;

/** Prefill load from which an engine no longer attracts long prompts of the batch class. */
export const PREFILL_SATURATED_RATIO = 1;

/** Length from which batch prompts are kept away from engines with streaming generations. */
export const LONG_PROMPT_TOKENS = 128;

/**
 * Wait of streaming work for an engine without heavy prefill load after which separation is paused.
 */
export const STREAMING_SEPARATION_WAIT_MS = 500;

/**
 * Time for which long prompts and streaming work may share engines after streaming work had to
 * wait.
 */
export const SEPARATION_PAUSE_MS = 30_000;

/** Time that long prompts of the batch class wait for an engine without streaming generations. */
export const BATCH_SEPARATION_WAIT_MS = 30_000;

/** Score added for placing a long prompt and streaming generations on the same engine. */
export const SEPARATION_SCORE = 0.5;

/** Count of engines up to which selection scores all of them; above it, a random sample. */
export const MAX_SCANNED_ENGINES_COUNT = 64;
/** Count of engines drawn for the random sample that selection scores. */
export const SAMPLED_ENGINES_COUNT = 32;

/** Limit of suspended generations that a home remembers per engine. */
export const MAX_REMEMBERED_SUSPENSIONS_COUNT = 1_024;
