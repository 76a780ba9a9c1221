/** One decision about a request, recorded to explain the request to operators. */
export interface TraceEvent {
  readonly atWallMs: number;
  /** Step of the request's processing, e.g. "admission.waited". */
  readonly step: string;
  /** The VM at which the decision was made. */
  readonly vm: string;
  /** The backend server or VM that the decision concerns. */
  readonly backend?: string;
  /** Token offset in the generation's output. */
  readonly offset?: number;
  readonly durationMs?: number;
  /** Reason of the decision, as text for operators. */
  readonly reason: string;
}

/** Records trace events by request, in bounded memory. */
export interface Tracer {
  /** Records an event of a request, with the current wall time and this VM's name. */
  record(requestId: string, event: Omit<TraceEvent, "atWallMs" | "vm">): void;
  /** Returns the trace events of a request, oldest first; empty if the request is not known. */
  trace(requestId: string): readonly TraceEvent[];
}

/** Measured durations of a request, named as their metrics; objectives may bound them. */
export enum Measure {
  StallMs = "stall_ms",
  InterTokenMs = "inter_token_ms",
  FirstTokenMs = "first_token_ms",
  CompletionMs = "completion_ms",
}

/** Sink for counters, gauges and distributions. */
export interface Metrics {
  /** Adds to a counter; `count` defaults to 1. */
  increment(name: string, count?: number, tags?: Readonly<Record<string, string>>): void;
  /** Sets the current value of a gauge. */
  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void;
  /** Records one value of a measure for an entry, in metrics and in the burn report. */
  observe(measure: Measure, entryName: string, value: number): void;
  /** Records whether a request of the entry finished with a complete answer. */
  recordCompletion(entryName: string, isComplete: boolean): void;
}

/** Subjects of the burn report: bounded measures, and completion of requests. */
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

/** Burn counts and distribution of one entry and subject; those of several VMs can be merged. */
export interface BurnSeries {
  readonly entryName: string;
  readonly owner: string;
  readonly subject: BurnSubject;
  /** Upper bound of a good event's value, in milliseconds; null for completion or without a bound. */
  readonly objectiveMs: number | null;
  readonly targetRatio: number;
  readonly windows: readonly BurnCounts[];
  /** Good and bad events per slot that has any, oldest first, to plot them over time. */
  readonly slots: readonly BurnSlot[];
  /** Compressed HDR histogram of the last hour in base64; null without values. */
  readonly histogram: string | null;
}

/** Good and bad events of one slot. */
export interface BurnSlot {
  readonly startWallMs: number;
  readonly goodCount: number;
  readonly badCount: number;
}
