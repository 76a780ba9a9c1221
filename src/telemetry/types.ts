/** One decision about a request, as a person would want it explained. */
export interface TraceEvent {
  readonly atWallMs: number;
  /** Where in the path, e.g. "admission.waited". */
  readonly step: string;
  /** The VM at which the decision was made. */
  readonly vm: string;
  readonly backend?: string;
  readonly offset?: number;
  readonly durationMs?: number;
  /** Why, in plain words. */
  readonly reason: string;
}

/** Records decisions per request in a bounded ring. */
export interface Tracer {
  record(requestId: string, event: Omit<TraceEvent, "atWallMs" | "vm">): void;
  /** Decisions of one request, oldest first; empty where the request is not known. */
  trace(requestId: string): readonly TraceEvent[];
}

/** Names of the distributions that objectives speak of. */
export enum Measure {
  StallMs = "stall_ms",
  InterTokenMs = "inter_token_ms",
  FirstTokenMs = "first_token_ms",
  CompletionMs = "completion_ms",
}

/** Counters and distributions; a no-op where telemetry is not configured. */
export interface Metrics {
  increment(name: string, count?: number, tags?: Readonly<Record<string, string>>): void;
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  /** Records one value of a user's measure for an entry, for metrics and the burn report alike. */
  observe(measure: Measure, entryName: string, value: number): void;
  /** Records whether a request of the entry finished whole. */
  completed(entryName: string, isWhole: boolean): void;
}

/** What the burn report counts: the measures, and whether requests finished whole. */
export enum BurnSubject {
  Stall = "stall",
  InterToken = "inter-token",
  FirstToken = "first-token",
  Completion = "completion",
}

/** Good and bad events of one entry and subject in one window. */
export interface BurnCounts {
  readonly windowMs: number;
  readonly goodCount: number;
  readonly badCount: number;
}

/** One entry's burn on one VM; several of them merge by adding. */
export interface BurnSeries {
  readonly entryName: string;
  readonly owner: string;
  readonly subject: BurnSubject;
  /** Bound that an event must keep to be good, in milliseconds; null for completion. */
  readonly objectiveMs: number | null;
  readonly targetRatio: number;
  readonly windows: readonly BurnCounts[];
  /** Bad and total events per slot, newest last, for the plot. */
  readonly slots: readonly BurnSlot[];
  /** Compressed HDR histogram of the last hour; null where there are no values. */
  readonly histogram: string | null;
}

/** Events of one slot of the plot. */
export interface BurnSlot {
  readonly startWallMs: number;
  readonly goodCount: number;
  readonly badCount: number;
}
