/** The spread of response times around their level: a decaying histogram of log ratios. */

const LOWEST = -2;
const STEP = 0.05;
const BINS = 160;

/** Samples after which older ones count half. */
const HALF_LIFE_SAMPLES = 20_000;

/** Pseudo-samples of the prior, a normal distribution of log ratios. */
const PRIOR_SAMPLES = 100;
const PRIOR_DEVIATION = 0.5;

/** Histogram of `ln(latency) - level`; bin `i` starts at `LOWEST + i * STEP`. */
export interface Spread {
  readonly bins: Float64Array;
  total: number;
  /** Weight of the next sample; grows in place of decaying all bins. */
  weight: number;
  /** Survival by bin, rebuilt at most once a tick. */
  readonly survival: Float64Array;
}

/** Builds a spread that holds only its prior. */
export function createSpread(): Spread {
  const bins = new Float64Array(BINS);
  let total = 0;
  for (let i = 0; i < BINS; i++) {
    const ratio = (LOWEST + (i + 0.5) * STEP) / PRIOR_DEVIATION;
    const mass = Math.exp((-ratio * ratio) / 2);
    bins[i] = mass;
    total += mass;
  }
  for (let i = 0; i < BINS; i++) {
    bins[i] = ((bins[i] ?? 0) * PRIOR_SAMPLES) / total;
  }
  const spread: Spread = {
    bins,
    total: PRIOR_SAMPLES,
    weight: 1,
    survival: new Float64Array(BINS + 1),
  };
  rebuild(spread);
  return spread;
}

/** Adds one log ratio; call `rebuild` before the next reading. */
export function addRatio(spread: Spread, ratio: number): void {
  const bin = Math.floor((ratio - LOWEST) / STEP);
  const at = Math.min(BINS - 1, Math.max(0, bin));
  spread.bins[at] = (spread.bins[at] ?? 0) + spread.weight;
  spread.total += spread.weight;
  spread.weight *= 2 ** (1 / HALF_LIFE_SAMPLES);
}

/** Recomputes the survival function and rescales the weights. */
export function rebuild(spread: Spread): void {
  const { bins, survival } = spread;
  for (let i = 0; i < BINS; i++) {
    bins[i] = (bins[i] ?? 0) / spread.weight;
  }
  spread.total /= spread.weight;
  spread.weight = 1;
  let above = 0;
  survival[BINS] = 0;
  for (let i = BINS - 1; i >= 0; i--) {
    above += bins[i] ?? 0;
    survival[i] = above / spread.total;
  }
}

/** Returns the share of samples whose log ratio exceeds `ratio`, interpolated between bins. */
export function shareAbove(spread: Spread, ratio: number): number {
  const place = (ratio - LOWEST) / STEP;
  if (place <= 0) {
    return 1;
  }
  if (place >= BINS) {
    return 0;
  }
  const bin = Math.floor(place);
  const low = spread.survival[bin] ?? 0;
  const high = spread.survival[bin + 1] ?? 0;
  return low + (high - low) * (place - bin);
}
