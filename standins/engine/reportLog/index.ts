import type * as backends from "../../../src/backends/types.js";
import type * as clocks from "../../../src/_lib/clock/index.js";

/** Reports kept per lag period; a reader sees the newest that is older than the lag. */
const REPORTS_PER_LAG = 4;

/** Load reports that become visible late. */
export class ReportLog {
  private reports: backends.EngineLoadReport[] = [];

  constructor(
    private readonly lagMs: number,
    private readonly clock: clocks.Clock,
  ) {}

  /** Takes a report, unless the last one is recent enough. */
  offer(take: () => backends.EngineLoadReport): void {
    const last = this.reports.at(-1);
    const intervalMs = this.lagMs / REPORTS_PER_LAG;
    if (last !== undefined && this.clock.nowMs() - last.takenAtMs < intervalMs) return;
    this.reports.push(take());
    this.dropHidden();
  }

  /** The newest report that is at least as old as the lag, or the first one ever taken. */
  visible(): backends.EngineLoadReport | undefined {
    this.dropHidden();
    return this.reports[0];
  }

  private dropHidden(): void {
    const visibleMs = this.clock.nowMs() - this.lagMs;
    while ((this.reports[1]?.takenAtMs ?? Infinity) <= visibleMs) this.reports.shift();
  }
}
