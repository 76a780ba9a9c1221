/** How much a line is worth when not all can be written; the least is dropped first. */
export enum Importance {
  /** An ordinary step of a request that went well. */
  Routine = 0,
  /** A refusal, a failure, or a step that saves a request. */
  Notable = 1,
  /** A change of what the process believes, or a step of its own life. */
  Belief = 2,
}

/** Decisions and changes that are logged; the value is the line's "event". */
export enum LogEvent {
  Started = "started",
  Stopping = "stopping",
  Stopped = "stopped",
  SettingsReloaded = "settings-reloaded",
  ReadinessChanged = "readiness-changed",
  StoreLost = "store-lost",
  StoreRegained = "store-regained",
  StoreRecordUnreadable = "store-record-unreadable",
  PeerUp = "peer-up",
  PeerDown = "peer-down",
  PeerUnreadable = "peer-unreadable",
  ReplicaFetched = "replica-fetched",
  ConfigurationTaken = "configuration-taken",
  ServerKnown = "server-known",
  ServerLeaving = "server-leaving",
  ProcessPaused = "process-paused",
  LinesDropped = "lines-dropped",
  RequestRefused = "request-refused",
  RequestPlaced = "request-placed",
  AttemptEnded = "attempt-ended",
  RepeatDenied = "repeat-denied",
  Hedged = "hedged",
  HandoverStarted = "handover-started",
  HandoverFailed = "handover-failed",
  MemoryCopied = "memory-copied",
  CarriedOn = "carried-on",
  StreamBroken = "stream-broken",
  CallerGone = "caller-gone",
  RequestServed = "request-served",
  RequestFailed = "request-failed",
  MalformedInput = "malformed-input",
}

/** Values of a line; never an API key or a prompt. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Writes one structured line for each decision. */
export interface DecisionLog {
  record(importance: Importance, event: LogEvent, fields: LogFields): void;
}
