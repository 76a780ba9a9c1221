import type * as clocks from "../../../_lib/clock/index.js";
import type * as logging from "../../../_lib/logger/index.js";
import type * as randoms from "../../../_lib/random/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import type * as types from "../../types.js";
import type * as deadlineQueue from "../deadlineQueue/index.js";

/** Options and services that all connections of a peer network share. */
export interface LinkContext {
  readonly options: types.PeerOptions;
  readonly directory: types.PeerDirectory;
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly logger: logging.Logger;
  readonly metrics: telemetry.Metrics;
  readonly deadlines: deadlineQueue.DeadlineQueue;
  /** Wall clock when this VM's peer network was created; sent in the handshake. */
  readonly startedAtWallMs: number;
  /** Called when a connection with the VM is lost, or the first in a series of attempts to connect fails. */
  readonly onLost: (vmName: string) => void;
}
