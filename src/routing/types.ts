/** What may be repeated of a call on a route. */
export enum RouteKind {
  /** May run more than once. */
  Idempotent = "idempotent",
  /** Runs at most once for each caller's attempt. */
  OnceOnly = "once-only",
  /** A generation answered as a stream of numbered events; runs at most once. */
  Generation = "generation",
}

/** One of the services that share the calls of a route. */
export interface ServiceShare {
  readonly serviceName: string;
  /** Relative weight among the shares of the route. */
  readonly weight: number;
}

/** How calls of one host and path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** The longest time for which a caller is kept waiting. */
  readonly timeoutMs: number;
  /** The time within which an answer, or its first event, has its full value. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** The most servers to which one attempt of a caller may be sent. */
  readonly maxServersCount: number;
  /** Whether calls need no API key. */
  readonly isAnonymous: boolean;
  readonly shares: readonly ServiceShare[];
}

/** What the servers of a service with model engines can do. */
export interface EngineTraits {
  readonly slotsCount: number;
  readonly memoryTokens: number;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether an engine copies the memory of a run to another one when asked to. */
  readonly canMoveRuns: boolean;
  /** Whether an engine keeps a second engine's copy of a run's memory up to date. */
  readonly canBackUpRuns: boolean;
}

/** A group of interchangeable backend servers. */
export interface Service {
  readonly name: string;
  /** Absent for services without model engines. */
  readonly engine: EngineTraits | null;
}

/** A client account with its API keys. */
export interface Account {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Goes before the route's priority where it is set. */
  readonly priority: number | null;
}

/** Bounds on what callers send, and on how long they take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The operators' configuration, complete, as of one version. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Null where callers need no API keys. */
  readonly accounts: readonly Account[] | null;
  readonly limits: CallerLimits;
}

/** A configuration arranged for look-ups. */
export interface RoutingTable {
  readonly configuration: Configuration;
  /** Routes of each host, the longest prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly servicesByName: ReadonlyMap<string, Service>;
  readonly accountsByKey: ReadonlyMap<string, Account>;
}
