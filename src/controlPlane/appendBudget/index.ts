import type * as clocks from "../../_lib/clock/index.js";

/** Priority of an append to the log, by its purpose; lower numbers have precedence. */
export enum AppendPriority {
  /** Catalogue changes by operators; never delayed, but charged to the budget. */
  Operator = 0,
  /** Leases, and snapshots of streams. */
  Control = 1,
  /** Intents and outcomes of once-only calls. */
  Call = 2,
}

/** How the log's append rate is divided among purposes and VMs. */
export interface AppendBudgetOptions {
  /** Appends per second that the log accepts from the whole fleet. */
  readonly logAppendsPerSecond: number;
  /** Ratio of that rate that the fleet may use for its own streams. */
  readonly ownShareRatio: number;
  /** Ratio of this VM's burst that is reserved for control appends. */
  readonly controlReserveRatio: number;
  /** Appends that accumulate while idle, in seconds of the rate. */
  readonly burstSeconds: number;
}

/** Default options; they leave more than half of a log's 300 appends per second to operators. */
export const DEFAULT_APPEND_BUDGET_OPTIONS: AppendBudgetOptions = {
  logAppendsPerSecond: 300,
  ownShareRatio: 0.4,
  controlReserveRatio: 0.2,
  burstSeconds: 2,
};

const MS_PER_SECOND = 1_000;
const MIN_BURST_APPENDS = 2;

/** Limit of the debt that operators' appends can cause, in seconds of the VM's rate. */
const MAX_DEBT_SECONDS = 5;

/**
 * Token bucket for this VM's appends to the log. The fleet's rate is divided evenly among its live
 * VMs, so the VMs need no coordination messages; a VM that needs more puts several records into one
 * append.
 */
export class AppendBudget {
  private availableAppends: number;
  private refilledAtMs: number;
  private pausedUntilMs = 0;

  /**
   * @param liveVmCount - returns the number of live VMs that share the rate, including this one
   */
  constructor(
    private readonly clock: clocks.Clock,
    private readonly liveVmCount: () => number,
    private readonly options: AppendBudgetOptions = DEFAULT_APPEND_BUDGET_OPTIONS,
  ) {
    this.refilledAtMs = clock.nowMs();
    this.availableAppends = this.burstAppends();
  }

  /** Returns the appends per second that this VM may currently use. */
  appendsPerSecond(): number {
    const fleetRate = this.options.logAppendsPerSecond * this.options.ownShareRatio;
    return fleetRate / Math.max(1, this.liveVmCount());
  }

  /**
   * Takes one append from the budget without waiting.
   *
   * @returns false if the append has to wait; always true for an operator's append
   */
  tryTake(priority: AppendPriority): boolean {
    this.refill();
    if (priority !== AppendPriority.Operator) {
      if (this.clock.nowMs() < this.pausedUntilMs) return false;
      if (this.availableAppends - this.reservedAppends(priority) < 1) return false;
    }
    this.availableAppends = Math.max(this.availableAppends - 1, -this.maxDebtAppends());
    return true;
  }

  /** Returns the milliseconds until an append of the priority is allowed; 0 if it is now. */
  waitMs(priority: AppendPriority): number {
    if (priority === AppendPriority.Operator) return 0;
    this.refill();
    const pauseMs = Math.max(0, this.pausedUntilMs - this.clock.nowMs());
    const missingAppends = 1 + this.reservedAppends(priority) - this.availableAppends;
    const refillMs = (Math.max(0, missingAppends) / this.appendsPerSecond()) * MS_PER_SECOND;
    return Math.ceil(Math.max(pauseMs, refillMs));
  }

  /**
   * Waits until an append of the priority is allowed, and takes it from the budget.
   *
   * @throws the signal's reason if aborted first
   */
  async take(priority: AppendPriority, signal?: AbortSignal): Promise<void> {
    while (!this.tryTake(priority)) {
      await this.clock.sleep(Math.max(1, this.waitMs(priority)), signal);
    }
  }

  /** Delays all but operators' appends by the log's retry delay, after it has refused an append. */
  onRefused(retryAfterMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.clock.nowMs() + retryAfterMs);
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    const earnedAppends = ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * this.appendsPerSecond();
    this.availableAppends = Math.min(this.burstAppends(), this.availableAppends + earnedAppends);
    this.refilledAtMs = nowMs;
  }

  private burstAppends(): number {
    return Math.max(MIN_BURST_APPENDS, this.appendsPerSecond() * this.options.burstSeconds);
  }

  private reservedAppends(priority: AppendPriority): number {
    if (priority !== AppendPriority.Call) return 0;
    return this.burstAppends() * this.options.controlReserveRatio;
  }

  private maxDebtAppends(): number {
    return this.appendsPerSecond() * MAX_DEBT_SECONDS;
  }
}
