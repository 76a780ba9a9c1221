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
  /** Also records under a backend server's name, for `chiveferry explain engine`. */
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
