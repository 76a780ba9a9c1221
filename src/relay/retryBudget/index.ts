import type * as clocks from "../../_lib/clock/index.js";

/** Bounds on repeats, for the whole fleet and one service. */
export interface RetryBudgetOptions {
  /** Repeats allowed for each call in the window. */
  readonly ratio: number;
  /** Repeats allowed beside in the window. */
  readonly slackCount: number;
  readonly windowMs: number;
}

/** Share of the fleet's allowance that VMs use; the rest covers VMs that are not known yet. */
const USED_SHARE = 0.7;

/** The window is kept in this many parts, so that it slides. */
const PARTS_COUNT = 10;

interface Part {
  readonly index: number;
  callsCount: number;
  repeatsCount: number;
}

/**
 * This VM's share of the repeats that all VMs together may send to a service: the ratio of its own
 * calls, and an even part of the fixed allowance.
 */
export class RetryBudget {
  private readonly partsByService = new Map<string, Part[]>();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly options: RetryBudgetOptions,
    private readonly liveVmsCount: () => number,
  ) {}

  /** Notes a call that came for a service. */
  noteCall(serviceName: string): void {
    this.currentPart(serviceName).callsCount += 1;
  }

  /** Takes one repeat out of the budget; false where there is none left. */
  tryTake(serviceName: string): boolean {
    if (this.remaining(serviceName) < 1) return false;
    this.currentPart(serviceName).repeatsCount += 1;
    return true;
  }

  /** Repeats that are left in the window. */
  remaining(serviceName: string): number {
    this.currentPart(serviceName);
    const parts = this.partsByService.get(serviceName) ?? [];
    const callsCount = parts.reduce((sum, part) => sum + part.callsCount, 0);
    const repeatsCount = parts.reduce((sum, part) => sum + part.repeatsCount, 0);
    const fixedCount = this.options.slackCount / Math.max(1, this.liveVmsCount());
    return USED_SHARE * (this.options.ratio * callsCount + fixedCount) - repeatsCount;
  }

  private currentPart(serviceName: string): Part {
    const index = Math.floor((this.clock.nowMs() / this.options.windowMs) * PARTS_COUNT);
    const parts = (this.partsByService.get(serviceName) ?? []).filter(
      (part) => part.index > index - PARTS_COUNT,
    );
    this.partsByService.set(serviceName, parts);
    const newest = parts.at(-1);
    if (newest?.index === index) return newest;
    const created: Part = { index, callsCount: 0, repeatsCount: 0 };
    parts.push(created);
    return created;
  }
}
