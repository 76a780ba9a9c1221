/** One measured point. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** A straight line through points. */
export interface FittedLine {
  readonly slope: number;
  readonly intercept: number;
  /** Coefficient of determination, from 0 to 1. */
  readonly rSquared: number;
}

/**
 * Fits a straight line by least squares.
 *
 * @param points - at least two points with different x
 * @throws RangeError if there are fewer than two points or all have the same x
 */
export function fitLine(points: readonly Point[]): FittedLine {
  const meanX = meanOf(points.map((point) => point.x));
  const meanY = meanOf(points.map((point) => point.y));
  let varianceX = 0;
  let varianceY = 0;
  let covariance = 0;
  for (const { x, y } of points) {
    varianceX += (x - meanX) ** 2;
    varianceY += (y - meanY) ** 2;
    covariance += (x - meanX) * (y - meanY);
  }
  if (varianceX === 0 || points.length < 2)
    throw new RangeError("a line needs at least two points with different x");
  const slope = covariance / varianceX;
  const rSquared = varianceY === 0 ? 1 : covariance ** 2 / (varianceX * varianceY);
  return { slope, intercept: meanY - slope * meanX, rSquared };
}

function meanOf(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
