import * as divideByDemand from "../../_lib/divideByDemand/index.js";

/** Rates of the calls to a service at one VM, or at all of them. */
export interface CallDemand {
  /** Calls that were served a second. */
  readonly servedPerSecond: number;
  /** Calls a second that were turned away because the servers took no more. */
  readonly refusedPerSecond: number;
  /** Calls a second of accounts that are not listed. */
  readonly otherPerSecond: number;
  /** Calls a second by account, those included that were turned away; null for anonymous callers. */
  readonly byAccount: ReadonlyMap<string | null, number>;
}

/** What the VMs together take of an account's calls, and what it sends; in calls a second. */
export interface CallShare {
  readonly sharePerSecond: number;
  readonly demandPerSecond: number;
}

/** Adds up the demands of several VMs. */
export function sumCallDemands(demands: readonly CallDemand[]): CallDemand {
  const byAccount = new Map<string | null, number>();
  let [servedPerSecond, refusedPerSecond, otherPerSecond] = [0, 0, 0];
  for (const demand of demands) {
    servedPerSecond += demand.servedPerSecond;
    refusedPerSecond += demand.refusedPerSecond;
    otherPerSecond += demand.otherPerSecond;
    for (const [name, rate] of demand.byAccount)
      byAccount.set(name, (byAccount.get(name) ?? 0) + rate);
  }
  return { servedPerSecond, refusedPerSecond, otherPerSecond, byAccount };
}

/**
 * Divides what a service takes among the accounts that call it (max-min fairness), and returns the shares of
 * those that send more than theirs. The load that it answers is one account that sends more calls than the
 * servers take, while each server turns away whoever comes next.
 *
 * Accounts that are not listed send too little to be beyond a share; they get what they send.
 *
 * @param demand - demand at all VMs
 * @param takenPerSecond - calls of all accounts that are let through a second
 * @returns nothing if there is one account, or if all calls can be let through
 */
export function computeCallShares(
  { byAccount, otherPerSecond }: CallDemand,
  takenPerSecond: number,
): ReadonlyMap<string | null, CallShare> {
  const shares = new Map<string | null, CallShare>();
  const accountsCount = byAccount.size + (otherPerSecond > 0 ? 1 : 0);
  if (accountsCount < 2) return shares;
  const rates = [...byAccount];
  const total = Math.max(0, takenPerSecond - otherPerSecond);
  const demands = rates.map(([, rate]) => rate);
  const parts = divideByDemand.divideByDemand(total, demands);
  rates.forEach(([name, demandPerSecond], index) => {
    const sharePerSecond = parts[index] ?? 0;
    if (demandPerSecond > sharePerSecond) shares.set(name, { sharePerSecond, demandPerSecond });
  });
  return shares;
}
