import * as diagnostics from "../../../diagnostics/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as streamPaces from "../streamPace/index.js";
import type * as types from "../../types.js";
import type * as engineStreams from "../engineStream/index.js";
import type * as handovers from "../handover/index.js";

const { Importance, LogEvent } = diagnostics;

/** Where a run stands when something is logged of it. */
export interface RunPosition {
  readonly serverId: string | null;
  readonly lastEventId: number;
}

/** Writes the lines of one generation's run. */
export class RunLog {
  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
  ) {}

  handoverStarted(
    at: RunPosition,
    cause: handovers.HandoverCause,
    way: string,
    restMs: number,
  ): void {
    this.record(LogEvent.HandoverStarted, at, { cause, way, restMs: Math.round(restMs) });
  }

  carriedOn(
    at: RunPosition,
    target: handovers.ContinuationTarget,
    outcome: engineStreams.OpenOutcome,
    gapMs: number,
  ): void {
    this.context.meters.handovers.inc({ way: target.way, outcome: outcome.kind });
    this.record(LogEvent.CarriedOn, at, {
      way: target.way,
      toServerId: target.server.id,
      outcome: outcome.kind,
      cause: "cause" in outcome ? outcome.cause : null,
      gapMs: Math.round(gapMs),
    });
  }

  served(at: RunPosition, pace: streamPaces.StreamPace): void {
    this.context.log.record(Importance.Routine, LogEvent.RequestServed, {
      requestId: this.call.head.id,
      route: this.call.route.name,
      ...at,
      carriedCount: pace.carriedCount,
      firstEventMs:
        pace.firstEventAtMs === null
          ? null
          : Math.round(pace.firstEventAtMs - this.call.arrivedAtMs),
      maxGapMs: Math.round(pace.maxGapMs),
      elapsedMs: this.elapsedMs(),
    });
  }

  /** The stream ends since the caller is gone or its time is over. */
  abandoned(at: RunPosition, isTimedOut: boolean): void {
    const event = isTimedOut ? LogEvent.StreamBroken : LogEvent.CallerGone;
    const cause = isTimedOut ? "deadline" : "caller closed the connection";
    this.record(event, at, { cause, elapsedMs: this.elapsedMs() });
  }

  /** The stream ends since its engine is lost and no other can go on. */
  broken(at: RunPosition, end: engineStreams.StreamEnd, hadBackup: boolean): void {
    const { serverId } = at;
    const server = serverId === null ? undefined : this.context.directory.find(serverId);
    this.record(LogEvent.StreamBroken, at, {
      cause: end,
      serverLeaving: server?.leaving ?? null,
      hadBackup,
      elapsedMs: this.elapsedMs(),
    });
  }

  private record(
    event: diagnostics.LogEvent,
    at: RunPosition,
    fields: diagnostics.LogFields,
  ): void {
    const requestId = this.call.head.id;
    this.context.log.record(Importance.Notable, event, { requestId, ...at, ...fields });
  }

  private elapsedMs(): number {
    return Math.round(this.context.clock.nowMs() - this.call.arrivedAtMs);
  }
}
