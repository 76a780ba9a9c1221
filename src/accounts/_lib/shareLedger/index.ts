import type * as types from "../../types.js";
import * as accountShare from "../accountShare/index.js";
import * as divideByDemand from "../../../_lib/divideByDemand/index.js";

/** A VM's report of its demand, sent when it requests its share. */
export interface Demand {
  /** Smoothed demand, with headroom. */
  readonly wanted: types.AccountShare;
  /** Amounts that the VM may use until it receives the response. */
  readonly held: types.AccountShare;
  /** Sequence number of the message; increases with each message of a VM. */
  readonly sequence: number;
}

/** The account's limits and the state of the fleet at the time of a grant. */
export interface GrantContext {
  readonly limits: types.AccountShare;
  /** Number of VMs that may hold a share, reachable or not. */
  readonly knownVmsCount: number;
  /** Names of the reachable VMs among them. */
  readonly reachableVms: ReadonlySet<string>;
  /** Whether VMs may hold shares that they have not reported to this home yet. */
  readonly isWarmingUp: boolean;
  readonly nowMs: number;
}

/** A VM that holds a share. */
interface ShareHolder {
  readonly demand: Demand;
  /** Upper bound of what the VM may use until its next request. */
  readonly committed: types.AccountShare;
  readonly lastDemandAtMs: number;
}

type Divide = (total: number, demands: readonly number[]) => readonly number[];

const DIVIDERS: Readonly<Record<accountShare.ShareField, Divide>> = {
  requestsPerSecond: divideByDemand.divideByDemand,
  concurrentRequests: divideByDemand.divideWholeByDemand,
  tokensPerSecond: divideByDemand.divideByDemand,
};

/**
 * The shares of one account at its home. A share is lowered at once, but raised only by amounts
 * that no other VM may still be using, so that the sum stays within the limit even if messages
 * are lost or delayed.
 */
export class ShareLedger {
  private readonly holders = new Map<string, ShareHolder>();

  /**
   * @param shareTtlMs - time without a request after which a reachable VM's share expires
   * @param warmUpEndsAtMs - until then VMs may hold shares that they have not reported to this home
   */
  constructor(
    private readonly shareTtlMs: number,
    readonly warmUpEndsAtMs: number,
  ) {}

  /** Whether no VM holds a share. */
  get isEmpty(): boolean {
    return this.holders.size === 0;
  }

  /** Upper bound of what all holders together may be using. */
  committedSum(): types.AccountShare {
    return accountShare.sumShares([...this.holders.values()].map((holder) => holder.committed));
  }

  /**
   * Records a VM's demand and grants its share.
   *
   * @returns undefined for a message that is not newer than the last one of the VM
   */
  grant(vmName: string, demand: Demand, context: GrantContext): types.AccountShare | undefined {
    const known = this.holders.get(vmName);
    if (known !== undefined && known.demand.sequence >= demand.sequence) return undefined;
    this.removeExpired(context);
    this.setHolder(vmName, demand, demand.held, context.nowMs);
    const share = accountShare.createShare((field) => this.computeAmount(vmName, field, context));
    const committed = accountShare.maxShare(demand.held, share);
    this.setHolder(vmName, demand, committed, context.nowMs);
    return share;
  }

  /** Removes reachable VMs that have not requested their shares for `shareTtlMs`. */
  removeExpired(context: Pick<GrantContext, "nowMs" | "reachableVms">): void {
    for (const [vmName, holder] of this.holders) {
      const isSilent = context.nowMs - holder.lastDemandAtMs >= this.shareTtlMs;
      if (isSilent && context.reachableVms.has(vmName)) this.holders.delete(vmName);
    }
  }

  /** Removes VMs that are not in `knownVms`. */
  removeUnknownVms(knownVms: ReadonlySet<string>): void {
    for (const vmName of this.holders.keys()) {
      if (!knownVms.has(vmName)) this.holders.delete(vmName);
    }
  }

  /** Computes a VM's share of one limit: its target, bounded by what no other VM may be using. */
  private computeAmount(
    vmName: string,
    field: accountShare.ShareField,
    context: GrantContext,
  ): number {
    const total = this.computeReachableLimit(field, context);
    const target = this.computeTarget(vmName, field, total, context);
    const others = [...this.holders].filter(([name]) => name !== vmName);
    const reachableOthers = others.filter(([name]) => context.reachableVms.has(name));
    const uncommitted = context.limits[field] - sumCommitted(others, field);
    const uncommittedByReachable = total - sumCommitted(reachableOthers, field);
    const amount = Math.max(0, Math.min(target, uncommitted, uncommittedByReachable));
    const held = this.holders.get(vmName)?.demand.held[field] ?? 0;
    return context.isWarmingUp ? Math.min(amount, held) : amount;
  }

  /** Computes the part of `total` that is due to a VM by the demands of all reachable VMs. */
  private computeTarget(
    vmName: string,
    field: accountShare.ShareField,
    total: number,
    context: GrantContext,
  ): number {
    const reachable = [...this.holders]
      .filter(([name]) => name === vmName || context.reachableVms.has(name))
      .sort(([left], [right]) => (left < right ? -1 : 1));
    const demands = reachable.map(([, holder]) => holder.demand.wanted[field]);
    // VMs that have not requested a share yet count with a demand of 0. They are assigned a part of
    // the remainder, so that their first request need not wait until other shares are lowered.
    const absentCount = Math.max(0, context.reachableVms.size - reachable.length);
    for (let count = 0; count < absentCount; count += 1) demands.push(0);
    const position = reachable.findIndex(([name]) => name === vmName);
    return DIVIDERS[field](total, demands)[position] ?? 0;
  }

  /**
   * Computes what the reachable VMs may use together. The use by unreachable VMs is not known, so
   * while there are any, the reachable VMs may use a part of the limit in proportion to their
   * number, or what they hold already if that is more.
   */
  private computeReachableLimit(field: accountShare.ShareField, context: GrantContext): number {
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
    lastDemandAtMs: number,
  ): void {
    this.holders.set(vmName, { demand, committed, lastDemandAtMs });
  }
}

function sumCommitted(
  holders: readonly (readonly [string, ShareHolder])[],
  field: accountShare.ShareField,
): number {
  return holders.reduce((sum, [, holder]) => sum + holder.committed[field], 0);
}
