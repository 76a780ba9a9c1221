import * as logging from "../../../src/_lib/logger/index.js";
import * as virtualClock from "../../../src/_lib/virtualClock/index.js";
import * as fleet from "../../../src/fleet/index.js";
import * as appendBudget from "../../../src/controlPlane/appendBudget/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import * as counters from "../../../standins/telemetry/counters/index.js";
import type * as formatTable from "../_lib/formatTable/index.js";

/** Columns of each measured row, in order. */
export const LEASE_COLUMNS = ["leases held", "appends/s of the whole fleet"] as const;

const SETTLE_MS = 30_000;
const MEASURE_MS = 300_000;
const MS_PER_SECOND = 1_000;
const LEASE_HOLD_MS = 1_000_000;
const VMS_COUNT = 8;

/** Measures the appends per second that renew a number of held leases, on the virtual clock. */
export async function measureLeases(leasesCount: number): Promise<formatTable.Row> {
  const clock = new virtualClock.VirtualClock();
  const log = new logModel.LogModel(clock);
  const holders = Array.from({ length: VMS_COUNT }, (_, index) => {
    return new fleet.LeaseHolder(
      { ...fleet.DEFAULT_LEASE_OPTIONS, vmName: `vm-${index}` },
      log,
      new appendBudget.AppendBudget(clock, () => VMS_COUNT),
      clock,
      logging.NOOP_LOGGER,
      new counters.CounterModel(),
    );
  });
  for (let lease = 0; lease < leasesCount; lease += 1) {
    const holder = holders[lease % VMS_COUNT];
    void holder?.withLease(`scope-${lease}`, () => clock.sleep(LEASE_HOLD_MS));
  }
  await clock.runForMs(SETTLE_MS);
  const before = log.appendsCount;
  await clock.runForMs(MEASURE_MS);
  return [leasesCount, (log.appendsCount - before) / (MEASURE_MS / MS_PER_SECOND)];
}
