/** Whether a backend server accepts work, as it announces. */
export enum ServerState {
  Ready = "ready",
  Draining = "draining",
}

/** State that a backend server publishes in the platform's store. */
export interface ServerEntry {
  /** Identifies a server; successive starts have the same id if the server keeps its name. */
  readonly id: string;
  readonly serviceName: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  /** Limit of concurrent requests. */
  readonly slotsCount: number;
  readonly state: ServerState;
  /** Time for which the server is still slow after its start. */
  readonly coldRemainingMs: number;
  /** Wall time of the server's start; distinguishes starts with the same id. */
  readonly bornAtWallMs: number;
  /** Increases with each message of one start. */
  readonly sequence: number;
}

/** Reason why a VM sends no more work to a server. */
export enum LeavingReason {
  /** The server announced its termination. */
  Announced = "announced",
  /** The server stated in an answer that it terminates. */
  StatedInAnswer = "stated-in-answer",
  /** The server's entry was removed from the store. */
  EntryRemoved = "entry-gone",
  /** Another server uses the address. */
  ReplacedAtAddress = "replaced-at-address",
}

/**
 * Bounds on the requests that a cold server may get in any second, of all VMs together: its rate times
 * the ratio, and the count.
 */
export interface ColdBounds {
  readonly overrunRatio: number;
  readonly toleranceCount: number;
}

/** What an entry changed in a VM's view of its server. */
export enum EntryEffect {
  /** The entry is older than the known one. */
  Ignored = "ignored",
  /** The entry belongs to no service of the configuration, and changes nothing until one has its name. */
  UnknownService = "unknown-service",
  /** The entry updates a server process that is known. */
  Updated = "updated",
  /** The entry is the first of a server process. */
  NewStart = "new-start",
  /** The entry makes a server process available again that counted as leaving. */
  Returned = "returned",
}

/** A VM's view of a server. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /** When this VM applied the server's last message, on the VM's own clock. */
  readonly receivedAtMs: number;
  /** Null while the server is available. */
  readonly leaving: LeavingReason | null;
  /** When `leaving` was set; 0 while the server is available. */
  readonly leavingSinceMs: number;
}

/** Outcome of an attempt, as evidence about the server. */
export enum AttemptVerdict {
  /** Answered normally. */
  Served = "served",
  /** Refused without running it: the server is full or not the one that the request expects. */
  Refused = "refused",
  /** Answered with a failure of the server itself. */
  Failed = "failed",
  /** The connection broke, the answer timed out or was invalid. */
  Broken = "broken",
  /** No connection could be established. */
  Unreachable = "unreachable",
}
