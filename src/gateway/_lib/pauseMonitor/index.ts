import type * as clocks from "../../../_lib/clock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as constants from "../../constants.js";

const { Importance, LogEvent } = diagnostics;

/** Measures the delay of timers, and reports and logs pauses of the process or of the VM. */
export function monitorPauses(
  clock: clocks.Clock,
  log: diagnostics.DecisionLog,
  meters: diagnostics.Meters,
  onPause: () => void,
): Disposable {
  let timer: Disposable;
  const scheduleMeasurement = (): void => {
    const scheduledAtMs = clock.nowMs();
    const scheduledAtWallMs = clock.wallTimeMs();
    timer = clock.schedule(constants.SWEEP_INTERVAL_MS, () => {
      const steadyLateMs = clock.nowMs() - scheduledAtMs - constants.SWEEP_INTERVAL_MS;
      const wallLateMs = clock.wallTimeMs() - scheduledAtWallMs - constants.SWEEP_INTERVAL_MS;
      meters.loopDelay.observe(Math.max(0, steadyLateMs) / 1_000);
      if (Math.max(steadyLateMs, wallLateMs) > constants.PAUSE_THRESHOLD_MS) {
        onPause();
        log.record(Importance.StateChange, LogEvent.ProcessPaused, {
          steadyLateMs: Math.round(steadyLateMs),
          wallLateMs: Math.round(wallLateMs),
        });
      }
      scheduleMeasurement();
    });
  };
  scheduleMeasurement();
  return {
    [Symbol.dispose]() {
      timer[Symbol.dispose]();
    },
  };
}
