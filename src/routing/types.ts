/** How requests on a route are answered, and whether they may run more than once. */
export enum RouteKind {
  /** A call that may run more than once. */
  Idempotent = "idempotent",
  /** A call that runs at most once for each attempt of its caller. */
  OnceOnly = "once-only",
  /** A generation answered as a stream of numbered events; runs at most once. */
  Generation = "generation",
}

/** A service that serves a weighted share of a route's requests. */
export interface ServiceShare {
  readonly serviceName: string;
  /** Relative weight among the shares of the route. */
  readonly weight: number;
}

/** How requests to one host and path prefix are served. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Longest time for which a caller waits for an answer. */
  readonly timeoutMs: number;
  /** Target time to the answer or its first event. */
  readonly objectiveMs: number;
  /** Target interval between two events of a stream; null if the route states none. */
  readonly targetGapMs: number | null;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Limit of servers to which one attempt of a caller may be sent. */
  readonly maxServersCount: number;
  /** Whether requests need no API key. */
  readonly isAnonymous: boolean;
  /**
   * Whether a broken stream may be resumed by a new run that starts after the last received event. Always
   * false for routes that are not generations.
   */
  readonly isResumable: boolean;
  readonly shares: readonly ServiceShare[];
}

/** Capabilities of the engines of a service. */
export interface EngineTraits {
  readonly slotsCount: number;
  readonly memoryTokens: number;
  /** Output tokens in one event of a stream. */
  readonly tokensPerEvent: number;
  /** Whether an engine can transfer the memory of a run to another engine. */
  readonly canMoveRuns: boolean;
  /** Tokens of memory that an engine's link transfers in a millisecond; absent if not stated. */
  readonly transferTokensPerMs?: number;
  /** Whether an engine can keep a backup of a run's memory on a second engine up to date. */
  readonly canBackUpRuns: boolean;
}

/** What the servers of a service bear after their start. */
export interface ColdStart {
  /** Requests a second from all VMs together that a cold server tolerates. */
  readonly ratePerSecond: number;
  /** How long a server is cold after its start. */
  readonly durationMs: number;
}

/** A group of interchangeable backend servers. */
export interface Service {
  readonly name: string;
  /** Null for plain services. */
  readonly engine: EngineTraits | null;
  /** Null if no limit is stated for cold servers. */
  readonly coldStart: ColdStart | null;
}

/** A client account with its API keys. */
export interface Account {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Takes precedence over the route's priority; null if not set. */
  readonly priority: number | null;
}

/** Limits on the size and the duration of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Longest time to receive the headers of a request. */
  readonly headerTimeoutMs: number;
  /** Time for which an idle connection is kept open. */
  readonly idleTimeoutMs: number;
}

/** One version of the operators' complete configuration. */
export interface Configuration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Null where callers need no API keys. */
  readonly accounts: readonly Account[] | null;
  readonly limits: CallerLimits;
  /** What was left out, as it cannot be used; absent where nothing was. */
  readonly faults?: readonly string[];
}

/** A configuration with indexes for lookups. */
export interface RoutingTable {
  readonly configuration: Configuration;
  /** Routes of each host, longest path prefix first. */
  readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
  readonly servicesByName: ReadonlyMap<string, Service>;
  /** The shortest of the pauses that the routes to a service allow, by name; absent if none is set. */
  readonly targetGapMsByService: ReadonlyMap<string, number>;
  /** Accounts by API key. */
  readonly accountsByKey: ReadonlyMap<string, Account>;
}
