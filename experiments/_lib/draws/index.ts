import type * as randoms from "../../../src/_lib/random/index.js";
import type * as types from "../../types.js";

/** A draw from the standard normal distribution (Box-Muller). */
export function drawNormal(random: randoms.RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/** A draw from a lognormal distribution. */
export function drawLognormal(
  random: randoms.RandomSource,
  median: number,
  spread: number,
): number {
  return median * Math.exp(spread * drawNormal(random));
}

/** A draw from a Pareto distribution. */
export function drawPareto(random: randoms.RandomSource, from: number, exponent: number): number {
  return from * (1 - random.next()) ** (-1 / exponent);
}

/** A count of tokens, at least 1. */
export function drawTokens(
  random: randoms.RandomSource,
  distribution: types.TokenDistribution,
): number {
  const isTail = random.next() < distribution.tailRatio;
  const tokens = isTail
    ? drawPareto(random, distribution.tailFromTokens, distribution.tailExponent)
    : drawLognormal(random, distribution.medianTokens, distribution.spread);
  return Math.max(1, Math.min(distribution.limitTokens, Math.round(tokens)));
}

/** One of several items, by weight. */
export function drawWeighted<T>(
  random: randoms.RandomSource,
  items: readonly T[],
  weightOf: (item: T) => number,
): T {
  const total = items.reduce((sum, item) => sum + weightOf(item), 0);
  let left = random.next() * total;
  for (const item of items) {
    left -= weightOf(item);
    if (left < 0) return item;
  }
  const last = items.at(-1);
  if (last === undefined) throw new RangeError("nothing to draw from");
  return last;
}
