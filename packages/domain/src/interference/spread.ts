/** Distribution of response times around their level, as a decaying histogram of log ratios. */

const MIN_LOG_RATIO = -2;
const BIN_WIDTH = 0.05;
const BIN_COUNT = 160;

/** Number of newer samples after which a sample counts half. */
const HALF_LIFE_SAMPLES = 20_000;

/** Weight in samples, and deviation, of the prior, a normal distribution of log ratios. */
const PRIOR_SAMPLES = 100;
const PRIOR_DEVIATION = 0.5;

/** Histogram of `ln(latency) - level`; bin `i` starts at `MIN_LOG_RATIO + i * BIN_WIDTH`. */
export interface Spread {
  readonly bins: Float64Array;
  total: number;
  /** Weight of the next sample; it grows so that the bins need not decay with each sample. */
  weight: number;
  /** Share of samples at or above the start of each bin, as of the last rebuild. */
  readonly survival: Float64Array;
}

/** Creates a spread with only the prior. */
export function createSpread(): Spread {
  const bins = new Float64Array(BIN_COUNT);
  let total = 0;
  for (let i = 0; i < BIN_COUNT; i++) {
    const ratio = (MIN_LOG_RATIO + (i + 0.5) * BIN_WIDTH) / PRIOR_DEVIATION;
    const mass = Math.exp((-ratio * ratio) / 2);
    bins[i] = mass;
    total += mass;
  }
  for (let i = 0; i < BIN_COUNT; i++) {
    bins[i] = ((bins[i] ?? 0) * PRIOR_SAMPLES) / total;
  }
  const spread: Spread = {
    bins,
    total: PRIOR_SAMPLES,
    weight: 1,
    survival: new Float64Array(BIN_COUNT + 1),
  };
  rebuildSurvival(spread);
  return spread;
}

/** Adds one log ratio; call `rebuildSurvival` before the next read. */
export function addRatio(spread: Spread, ratio: number): void {
  const bin = Math.floor((ratio - MIN_LOG_RATIO) / BIN_WIDTH);
  const at = Math.min(BIN_COUNT - 1, Math.max(0, bin));
  spread.bins[at] = (spread.bins[at] ?? 0) + spread.weight;
  spread.total += spread.weight;
  spread.weight *= 2 ** (1 / HALF_LIFE_SAMPLES);
}

/** Rebuilds the survival function and normalizes the weights. */
export function rebuildSurvival(spread: Spread): void {
  const { bins, survival } = spread;
  for (let i = 0; i < BIN_COUNT; i++) {
    bins[i] = (bins[i] ?? 0) / spread.weight;
  }
  spread.total /= spread.weight;
  spread.weight = 1;
  let above = 0;
  survival[BIN_COUNT] = 0;
  for (let i = BIN_COUNT - 1; i >= 0; i--) {
    above += bins[i] ?? 0;
    survival[i] = above / spread.total;
  }
}

/** Returns the share of samples whose log ratio exceeds `ratio`, interpolated between bins. */
export function shareAbove(spread: Spread, ratio: number): number {
  const place = (ratio - MIN_LOG_RATIO) / BIN_WIDTH;
  if (place <= 0) {
    return 1;
  }
  if (place >= BIN_COUNT) {
    return 0;
  }
  const bin = Math.floor(place);
  const low = spread.survival[bin] ?? 0;
  const high = spread.survival[bin + 1] ?? 0;
  return low + (high - low) * (place - bin);
}
