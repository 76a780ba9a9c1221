import * as diagnostics from "../../../diagnostics/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as streamTimings from "../streamTiming/index.js";
import type * as types from "../../types.js";
import type * as engineStreams from "../engineStream/index.js";
import type * as handovers from "../handover/index.js";

const { Importance, LogEvent } = diagnostics;

/** The engine and the last event of a run at the time of a log line. */
export interface RunPosition {
  readonly serverId: string | null;
  readonly lastEventId: number;
}

/** Writes the decision log lines of one generation. */
export class RunLog {
  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
  ) {}

  /** Records the start of a handover; `remainingMs` is the estimated remaining time of the run. */
  recordHandover(
    at: RunPosition,
    cause: handovers.HandoverCause,
    way: string,
    remainingMs: number,
  ): void {
    this.record(LogEvent.HandoverStarted, at, {
      cause,
      way,
      restMs: Math.round(remainingMs),
    });
  }

  /** Records and counts the outcome of opening the stream on the next engine. */
  recordContinuation(
    at: RunPosition,
    target: handovers.ContinuationTarget,
    outcome: engineStreams.OpenOutcome,
    gapMs: number,
  ): void {
    this.context.meters.handovers.inc({ way: target.method, outcome: outcome.kind });
    this.record(LogEvent.CarriedOn, at, {
      way: target.method,
      toServerId: target.server.id,
      outcome: outcome.kind,
      cause: "cause" in outcome ? outcome.cause : null,
      gapMs: Math.round(gapMs),
    });
  }

  /** Records that the whole stream was forwarded. */
  recordServed(at: RunPosition, timing: streamTimings.StreamTiming): void {
    this.context.log.record(Importance.Routine, LogEvent.RequestServed, {
      requestId: this.call.head.id,
      route: this.call.route.name,
      ...at,
      carriedCount: timing.continuationsCount,
      firstEventMs:
        timing.firstEventAtMs === null
          ? null
          : Math.round(timing.firstEventAtMs - this.call.arrivedAtMs),
      maxGapMs: Math.round(timing.maxGapMs),
      elapsedMs: this.elapsedMs(),
    });
  }

  /** Records that the stream ended because the caller disconnected or the deadline passed. */
  recordAbandoned(at: RunPosition, isTimedOut: boolean): void {
    const event = isTimedOut ? LogEvent.StreamBroken : LogEvent.CallerGone;
    const cause = isTimedOut ? "deadline" : "caller closed the connection";
    this.record(event, at, { cause, elapsedMs: this.elapsedMs() });
  }

  /** Records that the stream ended because its engine left or failed and no other could continue. */
  recordBroken(at: RunPosition, end: engineStreams.StreamEnd, hadBackup: boolean): void {
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
