import type * as types from "../../types.js";
import * as accountShare from "../accountShare/index.js";
import * as divideByDemand from "../divideByDemand/index.js";

/** What a VM says when it asks for its share. */
export interface Demand {
  readonly wanted: types.AccountShare;
  /** What the VM uses until it gets the answer. */
  readonly held: types.AccountShare;
  /** Rises with each message of a VM about the account. */
  readonly sequence: number;
}

/** What may be granted now. */
export interface GrantContext {
  readonly limits: types.AccountShare;
  /** VMs that may hold a share, reachable or not, and those of them that are reachable. */
  readonly knownVmsCount: number;
  readonly reachableVms: ReadonlySet<string>;
  /** Whether this home may not have heard yet of everyone who holds a share. */
  readonly isWarmingUp: boolean;
  readonly nowMs: number;
}

interface Holder {
  readonly demand: Demand;
  /** The most that the VM may use until it is heard again. */
  readonly committed: types.AccountShare;
  readonly heardAtMs: number;
}

type Divide = (total: number, demands: readonly number[]) => readonly number[];

const DIVIDERS: Readonly<Record<accountShare.ShareField, Divide>> = {
  requestsPerSecond: divideByDemand.divideByDemand,
  concurrentRequests: divideByDemand.divideWholeByDemand,
  tokensPerSecond: divideByDemand.divideByDemand,
};

/**
 * One account's shares as its home keeps them. A share is lowered at once and raised only by
 * what no other VM may still be using, so that the sum stays within the limit however messages
 * are lost or delayed.
 */
export class ShareLedger {
  private readonly holders = new Map<string, Holder>();

  /**
   * @param warmUntilMs - until then the home may not have heard of everyone who holds a share
   */
  constructor(
    private readonly shareTtlMs: number,
    readonly warmUntilMs: number,
  ) {}

  get isEmpty(): boolean {
    return this.holders.size === 0;
  }

  /** The most that all holders together may be using. */
  committedSum(): types.AccountShare {
    return accountShare.sumShares([...this.holders.values()].map((holder) => holder.committed));
  }

  /**
   * Takes a VM's demand and grants its share.
   *
   * @returns undefined for a message that was overtaken by a later one
   */
  grant(vmName: string, demand: Demand, context: GrantContext): types.AccountShare | undefined {
    const known = this.holders.get(vmName);
    if (known !== undefined && known.demand.sequence >= demand.sequence) return undefined;
    this.expire(context);
    this.setHolder(vmName, demand, demand.held, context.nowMs);
    const share = accountShare.shareOf((field) => this.partOf(vmName, field, context));
    const committed = accountShare.maxShare(demand.held, share);
    this.setHolder(vmName, demand, committed, context.nowMs);
    return share;
  }

  /** Forgets VMs that have given their shares back by not asking for them again. */
  expire(context: Pick<GrantContext, "nowMs" | "reachableVms">): void {
    for (const [vmName, holder] of this.holders) {
      const isSilent = context.nowMs - holder.heardAtMs >= this.shareTtlMs;
      if (isSilent && context.reachableVms.has(vmName)) this.holders.delete(vmName);
    }
  }

  /** Forgets VMs that do not exist any more. */
  forgetOthers(knownVms: ReadonlySet<string>): void {
    for (const vmName of this.holders.keys()) {
      if (!knownVms.has(vmName)) this.holders.delete(vmName);
    }
  }

  private partOf(vmName: string, field: accountShare.ShareField, context: GrantContext): number {
    const total = this.allowance(field, context);
    const target = this.targetOf(vmName, field, total, context);
    const others = [...this.holders].filter(([name]) => name !== vmName);
    const reachableOthers = others.filter(([name]) => context.reachableVms.has(name));
    const free = context.limits[field] - sumCommitted(others, field);
    const freeHere = total - sumCommitted(reachableOthers, field);
    const part = Math.max(0, Math.min(target, free, freeHere));
    const held = this.holders.get(vmName)?.demand.held[field] ?? 0;
    return context.isWarmingUp ? Math.min(part, held) : part;
  }

  private targetOf(
    vmName: string,
    field: accountShare.ShareField,
    total: number,
    context: GrantContext,
  ): number {
    const reachable = [...this.holders]
      .filter(([name]) => name === vmName || context.reachableVms.has(name))
      .sort(([left], [right]) => (left < right ? -1 : 1));
    const demands = reachable.map(([, holder]) => holder.demand.wanted[field]);
    // What nobody wants stays free in part for VMs that have not asked yet, so that the account's
    // first request there need not wait until others have given something back.
    const absentCount = Math.max(0, context.reachableVms.size - reachable.length);
    for (let count = 0; count < absentCount; count += 1) demands.push(0);
    const position = reachable.findIndex(([name]) => name === vmName);
    return DIVIDERS[field](total, demands)[position] ?? 0;
  }

  /**
   * What the reachable VMs may use together: the limit less what unreachable ones may be using.
   * A part of the fleet that does not know what the others use keeps to its portion of the
   * VMs, or to what it uses already where that is more.
   */
  private allowance(field: accountShare.ShareField, context: GrantContext): number {
    const limit = context.limits[field];
    const reachableCount = context.reachableVms.size;
    if (reachableCount >= context.knownVmsCount) return limit;
    const portion = (limit * reachableCount) / context.knownVmsCount;
    const used = [...this.holders]
      .filter(([name]) => context.reachableVms.has(name))
      .reduce((sum, [, holder]) => sum + holder.demand.held[field], 0);
    return Math.min(limit, Math.max(portion, used));
  }

  private setHolder(
    vmName: string,
    demand: Demand,
    committed: types.AccountShare,
    heardAtMs: number,
  ): void {
    this.holders.set(vmName, { demand, committed, heardAtMs });
  }
}

function sumCommitted(
  holders: readonly (readonly [string, Holder])[],
  field: accountShare.ShareField,
): number {
  return holders.reduce((sum, [, holder]) => sum + holder.committed[field], 0);
}
