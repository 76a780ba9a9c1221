import type * as hotShots from "hot-shots";

import type * as burnRecorders from "../burnRecorder/index.js";
import type * as types from "../types.js";

/** Destinations of a telemetry hub. */
export interface TelemetryHubOptions {
  readonly burn: burnRecorders.BurnRecorder;
  /** StatsD client; null where metrics are not configured. */
  readonly statsd: hotShots.StatsD | null;
}

/** Keeps counters in this process, and forwards values to the burn recorder and to StatsD. */
export class TelemetryHub implements types.Metrics {
  private readonly totals = new Map<string, number>();

  constructor(private readonly options: TelemetryHubOptions) {}

  increment(name: string, count = 1, tags?: Readonly<Record<string, string>>): void {
    const key = tags === undefined ? name : `${name}{${formatTags(tags)}}`;
    this.totals.set(key, (this.totals.get(key) ?? 0) + count);
    this.options.statsd?.increment(name, count, { ...tags });
  }

  gauge(name: string, value: number, tags?: Readonly<Record<string, string>>): void {
    this.options.statsd?.gauge(name, value, { ...tags });
  }

  observe(measure: types.Measure, entryName: string, value: number): void {
    this.options.burn.observe(measure, entryName, value);
    this.options.statsd?.distribution(measure, value, { entry: entryName });
  }

  recordCompletion(entryName: string, isComplete: boolean): void {
    this.options.burn.recordCompletion(entryName, isComplete);
    this.increment(isComplete ? "requests_completed" : "requests_failed", 1, { entry: entryName });
  }

  /** Returns the counters since the start of the process, by name and tags. */
  counters(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.totals.entries()].sort());
  }
}

function formatTags(tags: Readonly<Record<string, string>>): string {
  return Object.entries(tags)
    .map(([name, value]) => `${name}=${value}`)
    .join(",");
}
