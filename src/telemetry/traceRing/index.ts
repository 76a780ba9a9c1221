import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Decisions of the most recent requests, bounded in requests and in events per request. */
export class TraceRing implements types.Tracer {
  private readonly traces = new Map<string, types.TraceEvent[]>();

  constructor(
    private readonly vmName: string,
    private readonly clock: clocks.Clock,
    private readonly maxRequestsCount = constants.TRACED_REQUESTS_COUNT,
  ) {}

  record(requestId: string, event: Omit<types.TraceEvent, "atWallMs" | "vm">): void {
    const events = this.eventsOf(requestId);
    if (events.length >= constants.TRACE_EVENTS_COUNT) {
      // The first half tells how the request began, the second half how it stands now.
      events.splice(constants.TRACE_EVENTS_COUNT / 2, 1);
    }
    events.push({ atWallMs: this.clock.wallTimeMs(), vm: this.vmName, ...event });
  }

  trace(requestId: string): readonly types.TraceEvent[] {
    return this.traces.get(requestId) ?? [];
  }

  private eventsOf(requestId: string): types.TraceEvent[] {
    const known = this.traces.get(requestId);
    if (known !== undefined) return known;
    if (this.traces.size >= this.maxRequestsCount) this.dropOldest();
    const created: types.TraceEvent[] = [];
    this.traces.set(requestId, created);
    return created;
  }

  private dropOldest(): void {
    for (const oldest of this.traces.keys()) {
      this.traces.delete(oldest);
      return;
    }
  }
}
