/** Buckets of output length per doubling. */
export const BUCKETS_PER_OCTAVE = 4;

/** Longest output that the buckets tell apart. */
export const MAX_LENGTH_TOKENS = 131_072;

/** Observations after which a histogram has forgotten half of what it held. */
export const LENGTH_HALF_LIFE_COUNT = 600;

/** Weight, in observations, that the wider histogram has against an entry's or account's own. */
export const PRIOR_WEIGHT_COUNT = 12;

/** Weight, in observations, of the assumption that every order of magnitude is as likely. */
export const IGNORANCE_WEIGHT_COUNT = 2;

/** A curve is rebuilt once it lacks more than this share of the observations. */
export const CURVE_TOLERANCE_RATIO = 0.02;

/** Accounts per learner whose own lengths are kept. */
export const MAX_ACCOUNT_HISTOGRAMS = 4_096;

/** Times ahead, in decoding steps, at which memory is forecast. */
export const FORECAST_HORIZONS_STEPS: readonly number[] = [
  0, 16, 32, 48, 64, 80, 96, 112, 128, 160, 192, 224, 256, 320, 384, 448, 512, 640, 768, 896, 1_024,
  1_280, 1_536, 1_792, 2_048, 2_560, 3_072, 3_584, 4_096, 5_120, 6_144, 7_168, 8_192, 10_240,
  12_288, 14_336, 16_384, 20_480, 24_576,
];

/** A generation that is expected to take less than this at a horizon counts as ended there. */
export const NEGLIGIBLE_SHARE_TOKENS = 8;

/** A running generation's forecast is renewed after this many tokens. */
export const REFORECAST_TOKENS = 16;

/** Bounds and steps of the safety margin, in standard deviations. */
export const MIN_MARGIN_DEVIATIONS = 1;
export const MAX_MARGIN_DEVIATIONS = 5;
export const INITIAL_MARGIN_DEVIATIONS = 3.5;
/** The most for interactive work, which is short and which the headroom is kept for. */
export const INTERACTIVE_DEVIATIONS = 0.5;
/** Added for every generation that lost its place. */
export const MARGIN_RAISE_DEVIATIONS = 0.75;
/** Taken off, per generation that ended while work waited, for each share of memory left idle. */
export const MARGIN_RELAX_DEVIATIONS = 0.02;
/** Share of memory that may stay idle while work waits. */
export const ACCEPTED_IDLE_RATIO = 0.08;

/** Share of memory that only interactive work may fill. */
export const INTERACTIVE_HEADROOM_RATIO = 0.03;

/** Share of memory that admission never plans with. */
export const UNPLANNED_RATIO = 0.01;

/** Share of memory at which the home suspends work itself. */
export const SUSPEND_AT_RATIO = 0.998;

/** Steps ahead that suspension looks, to act before the engine does. */
export const SUSPEND_LOOKAHEAD_STEPS = 4;

/** Steps of growth for which a suspension frees memory, so that another one does not follow at once. */
export const SUSPEND_RELIEF_STEPS = 64;

/** Weight of the newest value in moving averages of the step time. */
export const STEP_TIME_WEIGHT = 0.1;

/** Step time assumed before any was learned. */
export const INITIAL_STEP_TIME_MS = 30;

/** Prompt tokens that may wait for prefill on an engine; a lookup that comes next waits for them. */
export const MAX_PENDING_PREFILL_TOKENS = 1_024;

/** Steps after which some running generation is expected to end, where only its place is missing. */
export const NEXT_END_STEPS = 64;

/** Longest wait that an estimate states. */
export const MAX_ESTIMATED_WAIT_MS = 600_000;

/** Waiting time after which work counts as one class more urgent. */
export const AGEING_MS = 60_000;

/** Rank that waiting alone can reach; interactive work keeps the rank before it. */
export const MOST_AGED_RANK = 0.5;

/** Requests of one class and model that are looked at for one offer of room. */
export const MAX_OFFER_SCAN_COUNT = 4;

/** Scores of engines that differ by less are near-equal; one of them is drawn at random. */
export const NEAR_EQUAL_SCORE = 0.05;

/** Scores of engine choice: what each circumstance costs, in shares of a whole engine. */
export const OTHER_DATA_CENTRE_SCORE = 0.08;
export const SUSPECT_SCORE = 1;
export const PREFIX_HIT_SCORE = 0.25;
export const SLOW_STEP_SCORE = 0.1;

/** Work counts as waiting for an engine for this time after it was last turned away. */
export const WAITING_MEMORY_MS = 1_000;

/** Accounts without waiting work whose past service a lane still remembers. */
export const MAX_REMEMBERED_ACCOUNTS = 1_024;

/** A load report may be this old; what ended since then still counts as our own work. */
export const REPORT_LAG_LIMIT_MS = 10_000;

/** Prefixes remembered of one engine's cache. */
export const MAX_PREFIXES_PER_ENGINE = 2_048;

/** Time after which a prefix is as likely evicted as not, without any event about it. */
export const PREFIX_HALF_LIFE_MS = 60_000;

/** Weight of one event in the moving share of lost events. */
export const EVENT_LOSS_WEIGHT = 0.02;

/** Prompt tokens that an engine prefills per millisecond when it does little else. */
export const PREFILL_TOKENS_PER_MS = 10;

/** Time constant of the moving prefill load. */
export const PREFILL_MEMORY_MS = 10_000;

/** Prefill load from which an engine is left to prompts, and watched work goes elsewhere. */
export const PREFILL_ENGINE_RATIO = 0.3;

/** Prefill load at which an engine takes no more prompts of work that can wait. */
export const FULL_PREFILL_RATIO = 1;

/** Prompts from this length on are kept away from watched generations. */
export const LONG_PROMPT_TOKENS = 128;

/** Time that watched work waits for an engine without prefill load. */
export const WATCHED_PATIENCE_MS = 500;

/** Time for which prompts and watched work share engines after watched work had to wait. */
export const SEPARATION_PAUSE_MS = 30_000;

/** Time that prompts of work that can wait do so for an engine without watched generations. */
export const BATCH_PATIENCE_MS = 30_000;

/** Score of keeping long prompts and watched generations on different engines. */
export const SEPARATION_SCORE = 0.5;

/** Up to so many engines are all looked at when one is chosen; of more, a sample. */
export const MAX_SCANNED_ENGINES = 64;
export const SAMPLED_ENGINES = 32;

/** Suspended generations that a home remembers of one engine. */
export const MAX_REMEMBERED_SUSPENSIONS = 1_024;
