import type * as telemetry from "../../src/telemetry/types.js";

/** Counts in memory what a part would report, for tests and tools. */
export class CountingMetrics implements telemetry.Metrics {
  private readonly counts = new Map<string, number>();

  increment(name: string, count = 1): void {
    this.counts.set(name, this.countOf(name) + count);
  }

  gauge(name: string, value: number): void {
    this.counts.set(name, value);
  }

  observe(measure: telemetry.Measure, entryName: string, value: number): void {
    this.counts.set(`${measure}/${entryName}`, value);
  }

  completed(entryName: string, isWhole: boolean): void {
    this.increment(`completed/${entryName}/${isWhole}`);
  }

  /** The sum of a counter, or a gauge's last value; 0 for one never reported. */
  countOf(name: string): number {
    return this.counts.get(name) ?? 0;
  }
}
