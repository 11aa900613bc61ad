/** Harmonics (a mean, a cosine and a sine of one period) fitted to samples by least squares. */
import type { Instant, Millis } from '../core/time.js';

/** Number of samples that are kept. */
export const MAX_SAMPLES = 64;

/** The most recent samples of a value, the oldest of which is replaced by the next one. */
export class Samples {
  /** Number of samples that are kept now. */
  count = 0;
  /** Time of the newest sample. */
  newestAt: Instant = -Infinity;
  private next = 0;
  private readonly times = new Float64Array(MAX_SAMPLES);
  private readonly values = new Float64Array(MAX_SAMPLES);

  /** Adds a sample. */
  add(value: number, at: Instant): void {
    this.times[this.next] = at;
    this.values[this.next] = value;
    this.next = (this.next + 1) % MAX_SAMPLES;
    this.count = Math.min(MAX_SAMPLES, this.count + 1);
    this.newestAt = at;
  }

  /** Time from the oldest to the newest sample. */
  get spanMs(): Millis {
    return this.count === 0 ? 0 : this.newestAt - this.timeOf(this.count - 1);
  }

  /** Returns the time of a sample; 0 is the newest one. */
  timeOf(age: number): Instant {
    return this.times[this.indexOf(age)] ?? 0;
  }

  /** Returns the value of a sample; 0 is the newest one. */
  valueOf(age: number): number {
    return this.values[this.indexOf(age)] ?? 0;
  }

  private indexOf(age: number): number {
    return (this.next - 1 - age + 2 * MAX_SAMPLES) % MAX_SAMPLES;
  }
}

/** A fitted harmonic, with the sums that tell how well it explains the samples. */
export interface Harmonic {
  readonly periodMs: Millis;
  /** Time at which the cosine is at its maximum. */
  readonly at: Instant;
  readonly mean: number;
  readonly cosine: number;
  readonly sine: number;
  readonly samples: number;
  /** Sum of squared differences from the harmonic, and from the mean of the samples. */
  readonly residual: number;
  readonly variation: number;
}

/** Fits a harmonic to samples. */
export type HarmonicFit = (samples: Samples, periodMs: Millis) => Harmonic;

/** Number of periods whose samples are used, so that the harmonic follows changes of amplitude and phase. */
const FITTED_PERIODS = 2;
/** Mean of loads before any sample. */
const PRIOR_MEAN = 0.5;
/**
 * Ratios of the variance of a sample, 0.03 squared, to the initial variances of the mean, 0.2 squared, and of
 * the amplitude, 0.25 squared. Without them, noise would determine the fit of half a period of samples.
 */
const MEAN_RIDGE = 0.022;
const AMPLITUDE_RIDGE = 0.014;

/** Returns the harmonic of a period that explains the samples of the last two periods best. */
export function fitHarmonic(samples: Samples, periodMs: Millis): Harmonic {
  const at = samples.newestAt;
  const radians = (2 * Math.PI) / periodMs;
  // Sums over the samples: of cosines, sines and their products, and of values and their products with them.
  let [n, c, s, cc, cs, ss] = [0, 0, 0, 0, 0, 0];
  let [y, yc, ys, yy] = [0, 0, 0, 0];
  for (let age = 0; age < samples.count; age += 1) {
    const since = samples.timeOf(age) - at;
    if (-since > FITTED_PERIODS * periodMs) {
      break;
    }
    const cosine = Math.cos(radians * since);
    const sine = Math.sin(radians * since);
    const value = samples.valueOf(age) - PRIOR_MEAN;
    n += 1;
    c += cosine;
    s += sine;
    cc += cosine * cosine;
    cs += cosine * sine;
    ss += sine * sine;
    y += value;
    yc += value * cosine;
    ys += value * sine;
    yy += value * value;
  }
  const [mean, cosine, sine] = solve(
    [n + MEAN_RIDGE, c, s, cc + AMPLITUDE_RIDGE, cs, ss + AMPLITUDE_RIDGE],
    [y, yc, ys],
  );
  const explained = mean * y + cosine * yc + sine * ys;
  const fittedSquares =
    mean * (mean * n + 2 * (cosine * c + sine * s)) +
    cosine * (cosine * cc + 2 * sine * cs) +
    sine * sine * ss;
  return {
    periodMs,
    at,
    mean: mean + PRIOR_MEAN,
    cosine,
    sine,
    samples: n,
    residual: Math.max(0, yy - 2 * explained + fittedSquares),
    variation: n === 0 ? 0 : Math.max(0, yy - (y * y) / n),
  };
}

/** Returns the value of a harmonic at a time. */
export function harmonicAt(
  { at, periodMs, mean, cosine, sine }: Harmonic,
  time: Instant,
): number {
  const angle = (2 * Math.PI * (time - at)) / periodMs;
  return mean + cosine * Math.cos(angle) + sine * Math.sin(angle);
}

/** Parameters of a harmonic, and of a mean. */
const HARMONIC_PARAMETERS = 3;
const MEAN_PARAMETERS = 1;

/**
 * Returns the fraction of the variance of all samples that their harmonics explain; 0 if there are too few
 * samples. Both variances are divided by their degrees of freedom, since a harmonic explains half of any six
 * samples by chance.
 */
export function explainedFraction(harmonics: readonly Harmonic[]): number {
  let [residual, variation, freedom, meanFreedom] = [0, 0, 0, 0];
  for (const fitted of harmonics) {
    residual += fitted.residual;
    variation += fitted.variation;
    freedom += fitted.samples - HARMONIC_PARAMETERS;
    meanFreedom += fitted.samples - MEAN_PARAMETERS;
  }
  return freedom <= 0 || variation <= 0
    ? 0
    : Math.max(0, 1 - residual / freedom / (variation / meanFreedom));
}

/** Solves a symmetric, positive definite system of three equations, given by its upper triangle by rows. */
function solve(
  [a, b, c, d, e, f]: readonly [number, number, number, number, number, number],
  [u, v, w]: readonly [number, number, number],
): [number, number, number] {
  const d1 = d - (b * b) / a;
  const e1 = e - (b * c) / a;
  const v1 = v - (b * u) / a;
  const f1 = f - (c * c) / a - (e1 * e1) / d1;
  const w1 = w - (c * u) / a - (e1 * v1) / d1;
  const z = w1 / f1;
  const y = (v1 - e1 * z) / d1;
  return [(u - b * y - c * z) / a, y, z];
}
