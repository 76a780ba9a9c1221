import type * as backends from "../../../src/backends/types.js";
import type * as clocks from "../../../src/_lib/clock/index.js";

/** Number of reports per lag period; a reader sees the newest one that is at least as old as the lag. */
const REPORTS_PER_LAG_COUNT = 4;

/** Keeps load reports that become visible to readers after a lag. */
export class ReportHistory {
  private reports: backends.EngineLoadReport[] = [];

  constructor(
    private readonly lagMs: number,
    private readonly clock: clocks.Clock,
  ) {}

  /** Records a report, unless the last one is younger than a quarter of the lag. */
  recordIfDue(createReport: () => backends.EngineLoadReport): void {
    const last = this.reports.at(-1);
    const intervalMs = this.lagMs / REPORTS_PER_LAG_COUNT;
    if (last !== undefined && this.clock.nowMs() - last.takenAtMs < intervalMs) return;
    this.reports.push(createReport());
    this.discardSuperseded();
  }

  /** Returns the newest report that is at least as old as the lag, or else the oldest one. */
  findVisible(): backends.EngineLoadReport | undefined {
    this.discardSuperseded();
    return this.reports[0];
  }

  /** Discards the reports that precede the newest visible one. */
  private discardSuperseded(): void {
    const visibleMs = this.clock.nowMs() - this.lagMs;
    while ((this.reports[1]?.takenAtMs ?? Infinity) <= visibleMs) this.reports.shift();
  }
}
