import type * as https from "node:https";

import type * as clocks from "../_lib/clock/index.js";
import type * as accounts from "../accounts/types.js";
import type * as calls from "../calls/types.js";
import type * as catalogue from "../catalogue/types.js";
import type * as generations from "../generations/types.js";
import type * as telemetry from "../telemetry/types.js";

/** Whether the balancer may send requests to this VM, and the reason if not, else `ready`. */
export interface Readiness {
  readonly isReady: boolean;
  readonly reason: string;
}

/** Limits on connections and requests. */
export interface ServerLimits {
  readonly maxBodyBytes: number;
  readonly maxHeaderBytes: number;
  readonly maxConnections: number;
  readonly requestTimeoutMs: number;
}

/** Address and port on which a server listens; port 0 selects any free port. */
export interface ListenOptions {
  readonly address: string;
  readonly port: number;
  /** TLS options with the certificates; null for plain HTTP. */
  readonly tls: https.ServerOptions | null;
}

/** Dependencies of the callers' port. */
export interface CallerServerParts {
  readonly clock: clocks.Clock;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly catalogue: catalogue.CatalogueView;
  readonly limiter: accounts.AccountLimiter;
  readonly generations: generations.GenerationService;
  readonly calls: calls.CallService;
  readonly readiness: () => Readiness;
  /** Creates a request id by which any VM can find the holders of the request's record. */
  readonly createRequestId: () => string;
}
