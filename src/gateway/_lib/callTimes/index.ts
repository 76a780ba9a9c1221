import type * as clocks from "../../../_lib/clock/index.js";
import type * as routing from "../../../routing/index.js";
import * as constants from "../../constants.js";

/** A call in progress. */
export interface CallInProgress {
  readonly requestId: string;
  readonly route: routing.Route;
  readonly arrivedAtMs: number;
  /** Whether this VM was stopping when it arrived. */
  readonly isLate: boolean;
  /** Refuses it, as long as it was not received completely. */
  readonly refuse: () => void;
  /** When the body was received completely; null before. */
  receivedAtMs: number | null;
}

interface IntervalTimes {
  count: number;
  slowestMs: number;
}

/** How long recent calls of a route have taken. */
export interface RecentTimes {
  /** Duration of the slowest recent call, calls in progress included; 0 if there was none. */
  readonly slowestMs: number;
  /** Whether enough recent calls have ended for an estimate of the duration of others. */
  readonly isEnough: boolean;
}

/** The calls in progress, and how long the slowest ones of each route have taken lately. */
export class CallTimes {
  private readonly inProgress = new Set<CallInProgress>();
  private times = new Map<string, IntervalTimes>();
  private formerTimes = new Map<string, IntervalTimes>();
  private intervalStartMs = -Infinity;

  constructor(private readonly clock: clocks.Clock) {}

  /** Adds an admitted call, whose body may still be on its way. */
  begin(call: Omit<CallInProgress, "receivedAtMs">): CallInProgress {
    const begun: CallInProgress = { ...call, receivedAtMs: null };
    this.inProgress.add(begun);
    return begun;
  }

  /**
   * Removes a call.
   *
   * @param isRefused - whether this VM or the servers refused it unrun, which tells nothing of the time that calls take
   */
  end(call: CallInProgress, isRefused: boolean): void {
    this.inProgress.delete(call);
    if (isRefused || call.receivedAtMs === null) return;
    this.startInterval();
    const times = this.times.get(call.route.name) ?? { count: 0, slowestMs: 0 };
    times.count += 1;
    times.slowestMs = Math.max(times.slowestMs, this.clock.nowMs() - call.receivedAtMs);
    this.times.set(call.route.name, times);
  }

  /** Returns how long recent calls of a route have taken, each from its last byte on. */
  recent(routeName: string): RecentTimes {
    this.startInterval();
    const known = [this.times.get(routeName), this.formerTimes.get(routeName)];
    const count = known.reduce((sum, times) => sum + (times?.count ?? 0), 0);
    const nowMs = this.clock.nowMs();
    let slowestMs = Math.max(...known.map((times) => times?.slowestMs ?? 0));
    for (const call of this.inProgress) {
      if (call.route.name !== routeName || call.receivedAtMs === null) continue;
      slowestMs = Math.max(slowestMs, nowMs - call.receivedAtMs);
    }
    return { slowestMs, isEnough: count >= constants.MIN_KNOWN_CALLS_COUNT };
  }

  /** Lists the calls in progress. */
  listInProgress(): readonly CallInProgress[] {
    return [...this.inProgress];
  }

  private startInterval(): void {
    const sinceMs = this.clock.nowMs() - this.intervalStartMs;
    if (sinceMs < constants.CALL_TIMES_INTERVAL_MS) return;
    const isFormerRecent = sinceMs < 2 * constants.CALL_TIMES_INTERVAL_MS;
    this.formerTimes = isFormerRecent ? this.times : new Map<string, IntervalTimes>();
    this.times = new Map();
    this.intervalStartMs = this.clock.nowMs();
  }
}
