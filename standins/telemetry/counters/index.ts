import type * as telemetry from "../../../src/telemetry/types.js";

/** Keeps counters, gauges and traces in memory, for tests and measurements. */
export class CounterModel implements telemetry.Metrics, telemetry.Tracer {
  readonly counts = new Map<string, number>();
  private readonly traces = new Map<string, telemetry.TraceEvent[]>();

  /** Returns the value of a counter over all its tags, or 0. */
  countOf(name: string): number {
    return this.counts.get(name) ?? 0;
  }

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

  record(requestId: string, event: Omit<telemetry.TraceEvent, "atWallMs" | "vm">): void {
    const events = this.traces.get(requestId) ?? [];
    events.push({ ...event, atWallMs: 0, vm: "" });
    this.traces.set(requestId, events);
  }

  trace(requestId: string): readonly telemetry.TraceEvent[] {
    return this.traces.get(requestId) ?? [];
  }
}
