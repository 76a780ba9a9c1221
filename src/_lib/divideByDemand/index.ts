/**
 * Divides a total by demand: each demand is met up to a common level (max-min fairness), and the
 * remainder is divided evenly.
 *
 * @param total - amount to divide
 * @param demands - demanded amounts, in the same unit
 * @returns one part per demand, in order; their sum is the total; empty without demands
 */
export function divideByDemand(total: number, demands: readonly number[]): readonly number[] {
  if (demands.length === 0) return [];
  const parts = allocateMaxMinFair(total, demands);
  const remainder = total - parts.reduce((sum, part) => sum + part, 0);
  return parts.map((part) => part + Math.max(0, remainder) / demands.length);
}

/**
 * Divides an integer by demand into integer parts: rounds the parts of `divideByDemand` down and
 * gives the remainder to the largest fractions, the first ones if fractions are equal.
 */
export function divideWholeByDemand(total: number, demands: readonly number[]): readonly number[] {
  const parts = divideByDemand(Math.floor(total), demands);
  const wholeParts = parts.map((part) => Math.floor(part));
  let leftOver = Math.floor(total) - wholeParts.reduce((sum, part) => sum + part, 0);
  const byFraction = parts
    .map((part, index) => ({ index, fraction: part - Math.floor(part) }))
    .sort((left, right) => right.fraction - left.fraction || left.index - right.index);
  for (const { index } of byFraction) {
    if (leftOver <= 0) break;
    wholeParts[index] = (wholeParts[index] ?? 0) + 1;
    leftOver -= 1;
  }
  return wholeParts;
}

function allocateMaxMinFair(total: number, demands: readonly number[]): number[] {
  const parts = demands.map(() => 0);
  const ascending = demands
    .map((demand, index) => ({ demand, index }))
    .sort((left, right) => left.demand - right.demand);
  let remaining = total;
  ascending.forEach(({ demand, index }, position) => {
    const level = remaining / (ascending.length - position);
    const part = Math.max(0, Math.min(demand, level));
    parts[index] = part;
    remaining -= part;
  });
  return parts;
}
