/** Piecewise linear basis for a service's log level as a function of its load. */

/** Loads between which the level is interpolated, relative to the service's mean load. */
const KNOTS = [0, 0.4, 0.8, 1.2, 1.8, 2.6] as const;

/** Number of coefficients of a load curve. */
export const KNOT_COUNT = KNOTS.length;

/** Maximum relative load; higher loads are clamped to it. */
export const MAX_LOAD = 2.6;

/** Writes the interpolation weights of `load` into the first `KNOT_COUNT` features. */
export function setLoadFeatures(features: Float64Array, load: number): void {
  features.fill(0, 0, KNOT_COUNT);
  const clamped = Math.min(MAX_LOAD, Math.max(0, load));
  for (let i = 1; i < KNOT_COUNT; i++) {
    const low = KNOTS[i - 1] ?? 0;
    const high = KNOTS[i] ?? MAX_LOAD;
    if (clamped <= high) {
      const part = (clamped - low) / (high - low);
      features[i - 1] = 1 - part;
      features[i] = part;
      return;
    }
  }
}
