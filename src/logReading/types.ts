import type * as diagnostics from "../diagnostics/index.js";

/** A line of a decision log. */
export interface LogLine {
  readonly event: diagnostics.LogEvent;
  readonly vmName: string;
  /** Wall time of the VM that wrote it. */
  readonly atMs: number;
  /** Place among the lines that were read; keeps the order of one VM's lines where clocks agree. */
  readonly index: number;
  readonly requestId: string | null;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** How a request ended, as its lines tell it. */
export enum RequestOutcome {
  Served = "served",
  Refused = "refused",
  Failed = "failed",
  Broken = "broken",
  CallerGone = "caller-gone",
  /** The lines end before the request does. */
  Unfinished = "unfinished",
}

/** What a request's lines say of its end. */
export interface RequestExplanation {
  readonly requestId: string;
  readonly outcome: RequestOutcome;
  /** One sentence that names the cause. */
  readonly cause: string;
  /** Whether the lines tell the cause; not where they end before the request does. */
  readonly isExplained: boolean;
}
