import * as diagnostics from "../../../diagnostics/index.js";
import * as routing from "../../../routing/index.js";
import type * as types from "../../types.js";
import * as callTimes from "../callTimes/index.js";
import * as canEndBeforeCloses from "../canEndBeforeClose/index.js";

const { Importance, LogEvent } = diagnostics;

/** Status of refused calls, which are left out of the statistics of call durations. */
const REFUSED_STATUS = 503;

/** Dependencies of the admission. */
export interface ShutdownContext {
  readonly ports: Pick<types.GatewayPorts, "clock" | "log" | "meters">;
  /** Returns the milliseconds until this VM closes its callers' connections; null if it is not stopping. */
  readonly getTimeToStopMs: () => number | null;
  /** Aborted when this VM is about to close its callers' connections. */
  readonly vmClosing: AbortSignal;
}

/** Decides which calls a stopping VM takes, by how long calls of their routes have taken lately. */
export class ShutdownAdmission {
  private readonly times: callTimes.CallTimes;

  constructor(private readonly context: ShutdownContext) {
    this.times = new callTimes.CallTimes(context.ports.clock);
    context.vmClosing.addEventListener("abort", () => this.recordUnfinished(), { once: true });
  }

  /**
   * Adds an admitted call, whose body may still be on its way.
   *
   * @param refuse - refuses it unrun
   */
  begin(
    requestId: string,
    route: routing.Route,
    arrivedAtMs: number,
    refuse: () => void,
  ): callTimes.CallInProgress {
    const isLate = this.context.getTimeToStopMs() !== null;
    return this.times.begin({ requestId, route, arrivedAtMs, isLate, refuse });
  }

  /** Removes a call that got an answer of the given status, or none. */
  end(call: callTimes.CallInProgress, status: number | null): void {
    this.times.end(call, status === REFUSED_STATUS);
  }

  /** Returns whether a call of a route, sent now, may not end before this VM stops. */
  isTooLate({ name, kind, objectiveMs, timeoutMs }: routing.Route): boolean {
    const timeToCloseMs = this.context.getTimeToStopMs();
    if (timeToCloseMs === null) return false;
    const isGeneration = kind === routing.RouteKind.Generation;
    const recent = this.times.recent(name);
    return !canEndBeforeCloses.canEndBeforeClose({
      ...{ isGeneration, objectiveMs, timeoutMs, recent, timeToCloseMs },
    });
  }

  /** Refuses calls whose bodies are still on their way, and that can no longer end before this VM stops. */
  refuseLateBodies(): void {
    const isTooLateByRoute = new Map<routing.Route, boolean>();
    for (const { receivedAtMs, refuse, route } of this.times.listInProgress()) {
      if (receivedAtMs !== null) continue;
      const isTooLate = isTooLateByRoute.get(route) ?? this.isTooLate(route);
      isTooLateByRoute.set(route, isTooLate);
      if (isTooLate) refuse();
    }
  }

  private recordUnfinished(): void {
    const { clock, log, meters } = this.context.ports;
    for (const { requestId, route, arrivedAtMs, isLate } of this.times.listInProgress()) {
      const arrival = isLate ? "while-stopping" : "before";
      meters.unfinishedCalls.inc({ kind: route.kind, arrival });
      const ageMs = Math.round(clock.nowMs() - arrivedAtMs);
      log.record(Importance.Notable, LogEvent.CallUnfinished, {
        ...{ requestId, route: route.name, kind: route.kind, arrival, ageMs },
      });
    }
  }
}
