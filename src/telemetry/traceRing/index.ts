import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Keeps the trace events of the newest requests, limited in requests and in events per request. */
export class TraceRing implements types.Tracer {
  private readonly traces = new Map<string, types.TraceEvent[]>();

  constructor(
    private readonly vmName: string,
    private readonly clock: clocks.Clock,
    private readonly maxRequestsCount = constants.DEFAULT_TRACED_REQUESTS_COUNT,
  ) {}

  record(requestId: string, event: Omit<types.TraceEvent, "atWallMs" | "vm">): void {
    const events = this.getEvents(requestId);
    if (events.length >= constants.MAX_TRACE_EVENTS_COUNT) {
      // Drops an event in the middle: the first half shows how the request began, the second half
      // its current state.
      events.splice(constants.MAX_TRACE_EVENTS_COUNT / 2, 1);
    }
    events.push({ atWallMs: this.clock.wallTimeMs(), vm: this.vmName, ...event });
  }

  trace(requestId: string): readonly types.TraceEvent[] {
    return this.traces.get(requestId) ?? [];
  }

  private getEvents(requestId: string): types.TraceEvent[] {
    const known = this.traces.get(requestId);
    if (known !== undefined) return known;
    if (this.traces.size >= this.maxRequestsCount) this.removeOldest();
    const created: types.TraceEvent[] = [];
    this.traces.set(requestId, created);
    return created;
  }

  private removeOldest(): void {
    for (const oldest of this.traces.keys()) {
      this.traces.delete(oldest);
      return;
    }
  }
}
