import type * as clocks from "../_lib/clock/index.js";
import type * as loggers from "../_lib/logger/index.js";
import type * as fleet from "../fleet/types.js";
import type * as peers from "../peers/types.js";
import type * as appendBudgets from "../controlPlane/appendBudget/index.js";
import type * as platform from "../controlPlane/types.js";
import type * as telemetry from "../telemetry/types.js";

/** How one stream's records make a state; every VM follows the same rules. */
export interface StreamRules<State> {
  readonly stream: platform.LogStream;
  readonly initialState: State;
  /** Pure; skips what it cannot read, and always advances the applied offset. */
  apply(state: State, record: platform.LogRecord): State;
  appliedOffsetOf(state: State): number;
  /** The state in plain parts, each small enough for one record. */
  encodeParts(state: State): Iterable<unknown>;
  /** The state from its parts; throws where a part is malformed. */
  decodeParts(coveredOffset: number, parts: readonly unknown[]): State;
}

/** What a follower needs from the rest of the daemon. */
export interface FollowerDependencies {
  readonly clock: clocks.Clock;
  readonly logger: loggers.Logger;
  readonly metrics: telemetry.Metrics;
  readonly logService: platform.LogService;
  readonly peerNetwork: peers.PeerNetwork;
  readonly fleetView: fleet.FleetView;
  readonly appendBudget: appendBudgets.AppendBudget;
}

/** How a follower behaves. */
export interface FollowerOptions {
  /** How long the log keeps records. */
  readonly retentionMs: number;
  readonly snapshotEveryRecords: number;
  readonly areSnapshotsWritten: boolean;
  readonly readersPerDataCentre: number;
}

/** Where a follower stands. */
export enum FollowerPhase {
  /** Looking for a state to start from. */
  Bootstrapping = "bootstrapping",
  /** Holds the highest offset that it could learn of, and follows. */
  Following = "following",
  /** Records are missing that the log no longer has; waiting for a snapshot or a peer. */
  Gap = "gap",
}

/** A follower's state for operators. */
export interface FollowerStatus {
  readonly phase: FollowerPhase;
  readonly reason: string;
  readonly appliedOffset: number;
  /** Highest offset that this VM has heard of. */
  readonly knownOffset: number;
  readonly isReader: boolean;
  /** Offset covered by the newest complete snapshot seen; -1 for none. */
  readonly snapshotOffset: number;
}

/** A snapshot's part, as the log and peers carry it. */
export interface SnapshotPart {
  readonly type: "snapshot";
  readonly snapshotId: string;
  readonly coveredOffset: number;
  readonly index: number;
  readonly count: number;
  /** SHA-256 of all parts' data, in order. */
  readonly hash: string;
  /** Packed and compressed, in base64. */
  readonly data: string;
}

/** A batch of consecutive records. */
export interface RecordBatch {
  readonly records: readonly platform.LogRecord[];
  /** Highest offset that the sender knows of. */
  readonly knownOffset: number;
}

/** What a VM says about itself when asked. */
export interface PeerStatus {
  readonly appliedOffset: number;
  readonly isReady: boolean;
}
