/** Whether a backend server says that it takes work. */
export enum ServerState {
  Ready = "ready",
  Draining = "draining",
}

/** What a backend server last said of itself in the platform's store. */
export interface ServerEntry {
  /** Names one start of a server, or several where it keeps its name. */
  readonly id: string;
  readonly serviceName: string;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly slotsCount: number;
  readonly state: ServerState;
  /** How much longer the server is slow after its start. */
  readonly coldRemainingMs: number;
  /** Wall time of the server's start; tells two starts under one id apart. */
  readonly bornAtWallMs: number;
  /** Raised with each message of one start. */
  readonly sequence: number;
}

/** By what a VM knows that a server leaves, or that nothing more may be sent to it. */
export enum LeavingSign {
  Announced = "announced",
  EntryGone = "entry-gone",
  ReplacedAtAddress = "replaced-at-address",
}

/** A server as this VM knows it. */
export interface KnownServer {
  readonly entry: ServerEntry;
  /** When its last message came to this VM; on the VM's own clock. */
  readonly heardAtMs: number;
  readonly leaving: LeavingSign | null;
  /** When the sign was seen; 0 where there is none. */
  readonly leavingSinceMs: number;
}

/** What happened to an attempt, as far as it tells about the server. */
export enum AttemptVerdict {
  Served = "served",
  /** Refused without being run: full, or asked for another server. */
  Refused = "refused",
  /** Answered with a failure of its own. */
  Failed = "failed",
  /** Broke off, timed out, or said what no server says. */
  Broken = "broken",
  /** Could not be connected to. */
  Unreachable = "unreachable",
}
