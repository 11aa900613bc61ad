/** Kalman filter for linear regression whose coefficients follow a random walk. */

/** Normalised innovation beyond which an observation counts as an outlier. */
const OUTLIER_LIMIT = 3;

/** Means and covariance of the coefficients; `covariance` is row-major, `size` × `size`. */
export interface LinearFilter {
  readonly size: number;
  readonly mean: Float64Array;
  readonly covariance: Float64Array;
}

/** Creates a filter of independent coefficients with the given means and standard deviations. */
export function createLinearFilter(
  means: readonly number[],
  deviations: readonly number[],
): LinearFilter {
  const size = means.length;
  const covariance = new Float64Array(size * size);
  deviations.forEach((deviation, i) => {
    covariance[i * size + i] = deviation ** 2;
  });
  return { size, mean: Float64Array.from(means), covariance };
}

/** Returns the variance of coefficient `i`. */
export function varianceOf(filter: LinearFilter, i: number): number {
  return filter.covariance[i * filter.size + i] ?? 0;
}

/** Returns the covariance of coefficients `i` and `j`. */
export function covarianceOf(
  filter: LinearFilter,
  i: number,
  j: number,
): number {
  return filter.covariance[i * filter.size + j] ?? 0;
}

/** Resets coefficient `i` to a prior independent of the others. */
export function resetCoefficient(
  filter: LinearFilter,
  i: number,
  mean: number,
  deviation: number,
): void {
  const { size, covariance } = filter;
  for (let j = 0; j < size; j++) {
    covariance[i * size + j] = 0;
    covariance[j * size + i] = 0;
  }
  covariance[i * size + i] = deviation ** 2;
  filter.mean[i] = mean;
}

/** Increases the variances of the coefficients, up to `limits`, so that old observations lose weight. */
export function diffuse(
  filter: LinearFilter,
  variances: Float64Array,
  limits: Float64Array,
): void {
  for (let i = 0; i < filter.size; i++) {
    const at = i * filter.size + i;
    const current = filter.covariance[at] ?? 0;
    const limit = Math.max(current, limits[i] ?? 0);
    filter.covariance[at] = Math.min(limit, current + (variances[i] ?? 0));
  }
}

/** Returns the value that the filter predicts for `features`. */
export function predictValue(
  filter: LinearFilter,
  features: Float64Array,
): number {
  let sum = 0;
  for (let i = 0; i < filter.size; i++) {
    sum += (filter.mean[i] ?? 0) * (features[i] ?? 0);
  }
  return sum;
}

/** Difference between an observation and its prediction, and the expected variance of that difference. */
export interface Innovation {
  readonly innovation: number;
  readonly variance: number;
}

/**
 * Updates the filter with an observation of variance `noise` and returns its innovation.
 * The variance of an outlier is raised until its normalised innovation equals the limit.
 */
export function updateFilter(
  filter: LinearFilter,
  features: Float64Array,
  value: number,
  noise: number,
): Innovation {
  const { size, mean, covariance } = filter;
  const gain = new Float64Array(size);
  for (let i = 0; i < size; i++) {
    let sum = 0;
    for (let j = 0; j < size; j++) {
      sum += (covariance[i * size + j] ?? 0) * (features[j] ?? 0);
    }
    gain[i] = sum;
  }
  const innovation = value - predictValue(filter, features);
  const explained = dot(gain, features);
  const total = Math.max(
    explained + noise,
    (innovation / OUTLIER_LIMIT) ** 2,
    Number.EPSILON,
  );
  for (let i = 0; i < size; i++) {
    const share = (gain[i] ?? 0) / total;
    mean[i] = (mean[i] ?? 0) + share * innovation;
    for (let j = 0; j < size; j++) {
      const at = i * size + j;
      covariance[at] = (covariance[at] ?? 0) - share * (gain[j] ?? 0);
    }
  }
  return { innovation, variance: explained + noise };
}

function dot(a: Float64Array, b: Float64Array): number {
  let sum = 0;
  for (let i = 0; i < a.length; i++) {
    sum += (a[i] ?? 0) * (b[i] ?? 0);
  }
  return sum;
}
