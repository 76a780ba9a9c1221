import type * as randoms from "../../_lib/random/index.js";
import type * as types from "../types.js";

/**
 * Selects one of a route's services at random by weight; undefined if no share has a positive
 * weight.
 */
export function selectService(
  route: types.Route,
  random: randoms.RandomSource,
): string | undefined {
  const totalWeight = route.shares.reduce((sum, share) => sum + share.weight, 0);
  let remainingWeight = random.next() * totalWeight;
  for (const share of route.shares) {
    if (share.weight <= 0) continue;
    remainingWeight -= share.weight;
    if (remainingWeight < 0) return share.serviceName;
  }
  return undefined;
}
