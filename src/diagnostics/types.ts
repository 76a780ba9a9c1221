/** Importance of a log line. If not all lines can be written, the least important are dropped first. */
export enum Importance {
  /** An ordinary step of a successful request. */
  Routine = 0,
  /** A refusal, a failure, or a step that recovers a request from one. */
  Notable = 1,
  /** A change of the process's view of other processes or of the configuration, or of its own state. */
  StateChange = 2,
}

/** Decisions and state changes that are logged; the value is the line's "event" field. */
export enum LogEvent {
  /** The first instruction of the process has run; the gateway is yet to be loaded. */
  ProcessStarted = "process-started",
  /** A signal that orders nothing has arrived; the process goes on. */
  SignalReceived = "signal-received",
  /** The settings file is missing, incomplete or invalid; the process waits for a valid one. */
  SettingsAwaited = "settings-awaited",
  SettingsFound = "settings-found",
  /** An address to listen on is in use or missing; the process tries again until it is free. */
  AddressAwaited = "address-awaited",
  AddressBound = "address-bound",
  /** A listening server could not accept a connection. */
  AcceptFailed = "accept-failed",
  Started = "started",
  Stopping = "stopping",
  Stopped = "stopped",
  SettingsReloaded = "settings-reloaded",
  ReadinessChanged = "readiness-changed",
  StoreLost = "store-lost",
  StoreRegained = "store-regained",
  StoreRestored = "store-restored",
  /** The store returned only some of the records that follow the view; they do not confirm it. */
  ViewBehind = "view-behind",
  ViewCaughtUp = "view-caught-up",
  StoreRecordUnreadable = "store-record-unreadable",
  PeerUp = "peer-up",
  PeerDown = "peer-down",
  PeerUnreadable = "peer-unreadable",
  ReaderRankChanged = "reader-rank-changed",
  ReplicaFetched = "replica-fetched",
  ListingIgnored = "listing-ignored",
  /** Records of further keys are not kept, as the topic has its largest size. */
  RecordsTurnedAway = "records-turned-away",
  ConfigurationTaken = "configuration-taken",
  ConfigurationIgnored = "configuration-ignored",
  ServerKnown = "server-known",
  ServerReturned = "server-returned",
  ServerLeaving = "server-leaving",
  /** The servers of a data centre get nothing new, as operators order. */
  DataCentreEvacuated = "data-centre-evacuated",
  /** The servers of a data centre get work again. */
  DataCentreTakenBack = "data-centre-taken-back",
  ServerRateChanged = "server-rate-changed",
  ServerPaused = "server-paused",
  /** Servers have turned cold or warm. */
  ColdServersChanged = "cold-servers-changed",
  ServersUnreachable = "servers-unreachable",
  ServersReachable = "servers-reachable",
  /** The servers accept this VM's connections and answer it nothing, while a peer gets their answers. */
  ServersSilent = "servers-silent",
  /** A server has answered this VM again. */
  ServersHeard = "servers-heard",
  TunnelOpened = "tunnel-opened",
  TunnelServed = "tunnel-served",
  TunnelRefused = "tunnel-refused",
  /** No peer that was asked has opened a tunnel. */
  TunnelUnavailable = "tunnel-unavailable",
  ServerEnded = "server-ended",
  SuspectBlamed = "suspect-blamed",
  SuspectCleared = "suspect-cleared",
  ProcessPaused = "process-paused",
  LinesDropped = "lines-dropped",
  RequestRefused = "request-refused",
  RequestPlaced = "request-placed",
  AttemptEnded = "attempt-ended",
  RepeatDenied = "repeat-denied",
  Hedged = "hedged",
  HandoverStarted = "handover-started",
  HandoverFailed = "handover-failed",
  /** A new run goes on at another engine after the last event that the caller has. */
  StreamResumed = "stream-resumed",
  MemoryCopied = "memory-copied",
  /** An engine at which a run does not go on was told to stop it. */
  RunStopped = "run-stopped",
  CarriedOn = "carried-on",
  StreamBroken = "stream-broken",
  /** A stopping VM could not finish a call that it had taken. */
  CallUnfinished = "call-unfinished",
  CallerGone = "caller-gone",
  RequestServed = "request-served",
  RequestFailed = "request-failed",
  /** A body or answer was evicted because the byte budget was exceeded. */
  BytesEvicted = "bytes-evicted",
  MalformedInput = "malformed-input",
  /** Connections were closed unserved, as there were too many or their heads held too many bytes. */
  ConnectionsRefused = "connections-refused",
  /** An unexpected error, which is a defect of the gateway; it ended only the work during which it occurred. */
  InternalError = "internal-error",
}

/** Fields of a log line; never contain an API key or a prompt. */
export type LogFields = Readonly<Record<string, string | number | boolean | null | undefined>>;

/** Writes one structured log line for each decision. */
export interface DecisionLog {
  /** Writes a line without waiting; the line may be dropped if too many are written. */
  record(importance: Importance, event: LogEvent, fields: LogFields): void;
}
