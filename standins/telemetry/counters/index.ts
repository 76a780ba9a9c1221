import type * as telemetry from "../../../src/telemetry/types.js";

/** Keeps counters, the latest gauges and measures, and traces in memory, for tests and experiments. */
export class CounterModel implements telemetry.Metrics, telemetry.Tracer {
  /** Counter values and latest gauges by name, and latest measures by `<measure>/<entry>`. */
  readonly counts = new Map<string, number>();
  /** Name of a counter or of a traced step at which an error is thrown; null for none. */
  throwsAt: string | null = null;
  private readonly traces = new Map<string, telemetry.TraceEvent[]>();

  /** Returns the value of a counter over all its tags, or 0. */
  countOf(name: string): number {
    return this.counts.get(name) ?? 0;
  }

  increment(name: string, count = 1): void {
    this.throwIfDue(name);
    this.counts.set(name, this.countOf(name) + count);
  }

  gauge(name: string, value: number): void {
    this.counts.set(name, value);
  }

  observe(measure: telemetry.Measure, entryName: string, value: number): void {
    this.counts.set(`${measure}/${entryName}`, value);
  }

  recordCompletion(entryName: string, isWhole: boolean): void {
    this.increment(`completed/${entryName}/${isWhole}`);
  }

  record(requestId: string, event: Omit<telemetry.TraceEvent, "atWallMs" | "vm">): void {
    this.throwIfDue(event.step);
    const events = this.traces.get(requestId) ?? [];
    events.push({ ...event, atWallMs: 0, vm: "" });
    this.traces.set(requestId, events);
  }

  /** Returns the events of a request in the order in which they were recorded. */
  trace(requestId: string): readonly telemetry.TraceEvent[] {
    return this.traces.get(requestId) ?? [];
  }

  private throwIfDue(name: string): void {
    if (name === this.throwsAt) throw new Error(`an injected error at ${name}`);
  }
}
