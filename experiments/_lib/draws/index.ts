import type * as randoms from "../../../src/_lib/random/index.js";
import type * as types from "../../types.js";

/** Draws from the standard normal distribution by the Box-Muller transform. */
export function drawNormal(random: randoms.RandomSource): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

/**
 * Draws from a lognormal distribution with the given median and standard deviation of the
 * logarithm.
 */
export function drawLognormal(
  random: randoms.RandomSource,
  median: number,
  logStandardDeviation: number,
): number {
  return median * Math.exp(logStandardDeviation * drawNormal(random));
}

/** Draws from a Pareto distribution with the given minimum and exponent. */
export function drawPareto(
  random: randoms.RandomSource,
  minimum: number,
  exponent: number,
): number {
  return minimum * (1 - random.next()) ** (-1 / exponent);
}

/** Draws a token count between 1 and the distribution's maximum. */
export function drawTokens(
  random: randoms.RandomSource,
  distribution: types.TokenDistribution,
): number {
  const isTail = random.next() < distribution.tailRatio;
  const tokens = isTail
    ? drawPareto(random, distribution.tailMinTokens, distribution.tailExponent)
    : drawLognormal(random, distribution.medianTokens, distribution.logStandardDeviation);
  return Math.max(1, Math.min(distribution.maxTokens, Math.round(tokens)));
}

/**
 * Draws one item with a probability proportional to its weight; throws a RangeError for an empty
 * list.
 */
export function drawWeighted<T>(
  random: randoms.RandomSource,
  items: readonly T[],
  weightOf: (item: T) => number,
): T {
  const total = items.reduce((sum, item) => sum + weightOf(item), 0);
  let remainingWeight = random.next() * total;
  for (const item of items) {
    remainingWeight -= weightOf(item);
    if (remainingWeight < 0) return item;
  }
  const last = items.at(-1);
  if (last === undefined) throw new RangeError("cannot draw from an empty list");
  return last;
}
