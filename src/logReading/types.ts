import type * as diagnostics from "../diagnostics/index.js";

/** A parsed line of a decision log. */
export interface LogLine {
  readonly event: diagnostics.LogEvent;
  readonly vmName: string;
  /** Wall time, in milliseconds, of the VM that wrote it. */
  readonly atMs: number;
  /** Position among all lines read; orders lines of the same time. */
  readonly index: number;
  readonly requestId: string | null;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** How a request ended, according to its log lines. */
export enum RequestOutcome {
  Served = "served",
  Refused = "refused",
  Failed = "failed",
  Broken = "broken",
  CallerGone = "caller-gone",
  /** No line records the end of the request. */
  Unfinished = "unfinished",
}

/** The end of a request, explained from log lines. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly outcome: RequestOutcome;
  /** One sentence that names the cause. */
  readonly cause: string;
  /** Whether the lines show the cause; false if the request is still in progress when they end. */
  readonly isExplained: boolean;
}
