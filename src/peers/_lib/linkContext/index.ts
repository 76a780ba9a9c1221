import type * as clocks from "../../../_lib/clock/index.js";
import type * as logging from "../../../_lib/logger/index.js";
import type * as randoms from "../../../_lib/random/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import type * as types from "../../types.js";
import type * as deadlineQueue from "../deadlineQueue/index.js";

/** What all connections of a peer network share. */
export interface LinkContext {
  readonly options: types.PeerOptions;
  readonly directory: types.PeerDirectory;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly logger: logging.Logger;
  readonly metrics: telemetry.Metrics;
  readonly deadlines: deadlineQueue.DeadlineQueue;
  readonly startedAtWallMs: number;
  /** Called when an established connection, or the attempt to make one, has failed. */
  readonly onLost: (vmName: string) => void;
}
