import type * as clocks from "../../_lib/clock/index.js";

/** Who an append to the log is for; lower numbers go first. */
export enum AppendPriority {
  /** Catalogue changes by operators: never held back, and charged to the others. */
  Operator = 0,
  /** Leases, catalogue snapshots. */
  Control = 1,
  /** Intents and outcomes of once-only calls. */
  Call = 2,
}

/** How the log's append rate is divided. */
export interface AppendBudgetOptions {
  /** Appends a second that the log takes from the whole fleet. */
  readonly logAppendsPerSecond: number;
  /** Share of them that the fleet's own streams may use together. */
  readonly ownShareRatio: number;
  /** Share of this VM's rate that only control appends may use. */
  readonly controlReserveRatio: number;
  /** Tokens saved up while idle, as seconds of the rate. */
  readonly burstSeconds: number;
}

/** Settings that leave more than half of a log of 300 appends a second to operators. */
export const DEFAULT_APPEND_BUDGET_OPTIONS: AppendBudgetOptions = {
  logAppendsPerSecond: 300,
  ownShareRatio: 0.4,
  controlReserveRatio: 0.2,
  burstSeconds: 2,
};

const MS_PER_SECOND = 1_000;
const MIN_BURST_APPENDS = 2;
const MAX_DEBT_SECONDS = 5;

/**
 * This VM's share of the log's appends per second. The fleet's share is divided evenly among
 * its live VMs, so that no message is needed to keep to it; a VM that needs more puts several
 * records into one append.
 */
export class AppendBudget {
  private availableAppends: number;
  private refilledAtMs: number;
  private pausedUntilMs = 0;

  /**
   * @param liveVmCount - how many VMs share the budget now, this one included
   */
  constructor(
    private readonly clock: clocks.Clock,
    private readonly liveVmCount: () => number,
    private readonly options: AppendBudgetOptions = DEFAULT_APPEND_BUDGET_OPTIONS,
  ) {
    this.refilledAtMs = clock.nowMs();
    this.availableAppends = this.burstAppends();
  }

  /** Appends a second that this VM may use now. */
  appendsPerSecond(): number {
    const fleetRate = this.options.logAppendsPerSecond * this.options.ownShareRatio;
    return fleetRate / Math.max(1, this.liveVmCount());
  }

  /**
   * Takes one append out of the budget, without waiting.
   *
   * @returns false when the append has to wait; an operator's append is never refused
   */
  tryTake(priority: AppendPriority): boolean {
    this.refill();
    if (priority !== AppendPriority.Operator) {
      if (this.clock.nowMs() < this.pausedUntilMs) return false;
      if (this.availableAppends - this.reserveFor(priority) < 1) return false;
    }
    this.availableAppends = Math.max(this.availableAppends - 1, -this.maxDebtAppends());
    return true;
  }

  /** Milliseconds until an append of the priority may be taken; 0 when it may be now. */
  waitMs(priority: AppendPriority): number {
    if (priority === AppendPriority.Operator) return 0;
    this.refill();
    const pauseMs = Math.max(0, this.pausedUntilMs - this.clock.nowMs());
    const missing = 1 + this.reserveFor(priority) - this.availableAppends;
    const refillMs = (Math.max(0, missing) / this.appendsPerSecond()) * MS_PER_SECOND;
    return Math.ceil(Math.max(pauseMs, refillMs));
  }

  /**
   * Waits until an append of the priority fits the budget and takes it.
   *
   * @throws the signal's reason when aborted first
   */
  async take(priority: AppendPriority, signal?: AbortSignal): Promise<void> {
    while (!this.tryTake(priority)) {
      await this.clock.sleep(Math.max(1, this.waitMs(priority)), signal);
    }
  }

  /** Holds back everything but operators after the log has refused an append for its rate. */
  onRefused(retryAfterMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, this.clock.nowMs() + retryAfterMs);
  }

  private refill(): void {
    const nowMs = this.clock.nowMs();
    const earned = ((nowMs - this.refilledAtMs) / MS_PER_SECOND) * this.appendsPerSecond();
    this.availableAppends = Math.min(this.burstAppends(), this.availableAppends + earned);
    this.refilledAtMs = nowMs;
  }

  private burstAppends(): number {
    return Math.max(MIN_BURST_APPENDS, this.appendsPerSecond() * this.options.burstSeconds);
  }

  private reserveFor(priority: AppendPriority): number {
    if (priority !== AppendPriority.Call) return 0;
    return this.burstAppends() * this.options.controlReserveRatio;
  }

  private maxDebtAppends(): number {
    return this.appendsPerSecond() * MAX_DEBT_SECONDS;
  }
}
