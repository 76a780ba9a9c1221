import type * as https from "node:https";

import type * as clocks from "../_lib/clock/index.js";
import type * as accounts from "../accounts/types.js";
import type * as calls from "../calls/types.js";
import type * as catalogue from "../catalogue/types.js";
import type * as generations from "../generations/types.js";
import type * as telemetry from "../telemetry/types.js";

/** Whether this VM may be sent requests, and why not. */
export interface Readiness {
  readonly isReady: boolean;
  readonly reason: string;
}

/** Bounds on what a caller may send. */
export interface ServerLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  readonly requestTimeoutMs: number;
}

/** Where a server listens; port 0 takes any free one. */
export interface ListenOptions {
  readonly address: string;
  readonly port: number;
  /** Certificates; plain HTTP where null. */
  readonly tls: https.ServerOptions | null;
}

/** What the callers' port works on. */
export interface CallerServerParts {
  readonly clock: clocks.Clock;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly catalogue: catalogue.CatalogueView;
  readonly limiter: accounts.AccountLimiter;
  readonly generations: generations.GenerationService;
  readonly calls: calls.CallService;
  readonly readiness: () => Readiness;
  /** A new id of a request, such that any VM can find its holders. */
  readonly createRequestId: () => string;
}
