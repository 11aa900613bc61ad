/** Quantiles of small samples. */

/** Returns the `q`-quantile of `values` to a tenth; null when there are none. */
export function quantile(values: readonly number[], q: number): number | null {
  const sorted = [...values].sort((a, b) => a - b);
  const index = Math.min(sorted.length - 1, Math.floor(q * sorted.length));
  const value = sorted[index];
  return value === undefined ? null : Math.round(value * 10) / 10;
}
