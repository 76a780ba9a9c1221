import type * as clocks from "../_lib/clock/index.js";
import type * as loggers from "../_lib/logger/index.js";
import type * as fleet from "../fleet/types.js";
import type * as peers from "../peers/types.js";
import type * as appendBudgets from "../controlPlane/appendBudget/index.js";
import type * as platform from "../controlPlane/types.js";
import type * as telemetry from "../telemetry/types.js";

/** Rules that derive a stream's state from its records, identical at every VM. */
export interface StreamRules<State> {
  readonly stream: platform.LogStream;
  readonly initialState: State;
  /** Pure function; it skips unreadable records and always advances the applied offset. */
  apply(state: State, record: platform.LogRecord): State;
  appliedOffsetOf(state: State): number;
  /** Splits the state into plain values, each small enough for one record. */
  encodeParts(state: State): Iterable<unknown>;
  /** Restores the state from its parts; throws if a part is malformed. */
  decodeParts(coveredOffset: number, parts: readonly unknown[]): State;
}

/** Dependencies of a follower. */
export interface FollowerDependencies {
  readonly clock: clocks.Clock;
  readonly logger: loggers.Logger;
  readonly metrics: telemetry.Metrics;
  readonly logService: platform.LogService;
  readonly peerNetwork: peers.PeerNetwork;
  readonly fleetView: fleet.FleetView;
  readonly appendBudget: appendBudgets.AppendBudget;
}

/** Options of a follower. */
export interface FollowerOptions {
  /** Retention time of the log. */
  readonly retentionMs: number;
  readonly snapshotEveryRecords: number;
  readonly areSnapshotsWritten: boolean;
  readonly readersPerDataCentre: number;
}

/** Phase of a follower. */
export enum FollowerPhase {
  /** It loads an initial state from the log or from peers. */
  Bootstrapping = "bootstrapping",
  /** It has applied the highest offset that it could learn of, and applies new records. */
  Following = "following",
  /** The log no longer retains records that it misses; it waits for a snapshot or a peer. */
  Gap = "gap",
}

/** Status of a follower, for operators. */
export interface FollowerStatus {
  readonly phase: FollowerPhase;
  readonly reason: string;
  readonly appliedOffset: number;
  /** Highest offset that the log or a peer has reported to this VM. */
  readonly knownOffset: number;
  readonly isReader: boolean;
  /** Offset covered by the newest complete snapshot seen in the log; -1 for none. */
  readonly snapshotOffset: number;
}

/** One part of a snapshot, as stored in the log and sent to peers. */
export interface SnapshotPart {
  readonly type: "snapshot";
  readonly snapshotId: string;
  readonly coveredOffset: number;
  readonly index: number;
  readonly count: number;
  /** SHA-256 of all parts' data, in order. */
  readonly hash: string;
  /** Content in MessagePack, compressed and base64-encoded. */
  readonly data: string;
}

/** A batch of consecutive records. */
export interface RecordBatch {
  readonly records: readonly platform.LogRecord[];
  /** Highest offset known to the sender. */
  readonly knownOffset: number;
}

/** A VM's reply to a status request. */
export interface PeerStatus {
  readonly appliedOffset: number;
  readonly isReady: boolean;
}
