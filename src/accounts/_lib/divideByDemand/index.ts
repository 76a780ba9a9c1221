/**
 * Divides a total by demand: every demand is met up to an equal level (max-min fairness), and
 * what is left over is divided evenly.
 *
 * @param total - what there is to divide
 * @param demands - what each asks for, in the same unit
 * @returns a part for each demand, in order; the sum is the total, or 0 without demands
 */
export function divideByDemand(total: number, demands: readonly number[]): readonly number[] {
  if (demands.length === 0) return [];
  const parts = fillToLevel(total, demands);
  const leftOver = total - parts.reduce((sum, part) => sum + part, 0);
  return parts.map((part) => part + Math.max(0, leftOver) / demands.length);
}

/**
 * Divides a whole number into whole parts, near those of divideByDemand; equal fractions go to
 * the first.
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

function fillToLevel(total: number, demands: readonly number[]): number[] {
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
