/** Straight-line fits of what was measured at several sizes. */

/** One measurement: `y` at size `x`. */
export interface Point {
  readonly x: number;
  readonly y: number;
}

/** The least-squares line through points. */
export interface Fit {
  readonly slope: number;
  readonly intercept: number;
  /** Largest distance of a point from the line, as a share of the largest `y`. */
  readonly residual: number;
}

/** Fits a line; needs two points of different `x`. */
export function fitLine(points: readonly Point[]): Fit {
  const n = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / n;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / n;
  let covariance = 0;
  let variance = 0;
  for (const { x, y } of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const largest = Math.max(...points.map(({ y }) => Math.abs(y)));
  const distances = points.map(({ x, y }) =>
    Math.abs(y - (intercept + slope * x)),
  );
  const residual = largest === 0 ? 0 : Math.max(...distances) / largest;
  return { slope, intercept, residual };
}
