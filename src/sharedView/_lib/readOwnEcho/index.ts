import type * as clocks from "../../../_lib/clock/index.js";
import type * as clockReadings from "../clockReading/index.js";
import type * as datagrams from "../datagrams/index.js";

/**
 * Returns the clock reading that a peer echoes; null if it stems from a former process of this VM,
 * whose monotonic clock had another origin.
 *
 * @param startedAtWallMs - start of this process
 */
export function readOwnEcho(
  { echo, echoStartedAtWallMs }: datagrams.Heartbeat,
  startedAtWallMs: number,
  clock: clocks.Clock,
): clockReadings.ClockReading | null {
  if (echo === null || echo.steadyMs > clock.nowMs()) return null;
  const isOwn = echoStartedAtWallMs === undefined || echoStartedAtWallMs === startedAtWallMs;
  return isOwn ? echo : null;
}
