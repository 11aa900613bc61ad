/** Kalman filters of a value and its rate of change, for quantities that change steadily. */
import type { Instant, Millis } from '../core/time.js';

const MS_PER_S = 1000;

/** Initial estimate before the first observation, and growth of the variances. */
export interface TrendModel {
  readonly mean: number;
  readonly variance: number;
  /** Variance of the rate, which is in units per second. */
  readonly rateVariance: number;
  /** Growth per second of the variance of the value, and of that of the rate. */
  readonly drift: number;
  readonly rateDrift: number;
}

/** A value, its rate of change per second, and their variances and covariance, as of `at`. */
export interface Trend {
  readonly mean: number;
  readonly rate: number;
  readonly variance: number;
  readonly covariance: number;
  readonly rateVariance: number;
  readonly at: Instant;
}

/** Trends by key. */
export class Trends<K> {
  private readonly trends = new Map<K, Trend>();

  /** Creates trends that start from the initial estimate of `model`. */
  constructor(private readonly model: TrendModel) {}

  /** Predicts the value at `time`, extrapolating the current rate for at most `maxAheadMs`. */
  predict(key: K, time: Instant, maxAheadMs: Millis): number {
    const known = this.trends.get(key);
    if (known === undefined) {
      return this.model.mean;
    }
    const seconds =
      Math.min(maxAheadMs, Math.max(0, time - known.at)) / MS_PER_S;
    return known.mean + known.rate * seconds;
  }

  /** Returns the trend extrapolated to `now`. */
  at(key: K, now: Instant): Trend {
    const known = this.trends.get(key);
    const { mean, variance, rateVariance, drift, rateDrift } = this.model;
    if (known === undefined) {
      return { mean, rate: 0, variance, covariance: 0, rateVariance, at: now };
    }
    const seconds = Math.max(0, now - known.at) / MS_PER_S;
    const grown =
      known.variance +
      2 * seconds * known.covariance +
      seconds ** 2 * known.rateVariance +
      drift * seconds;
    const grownRate = known.rateVariance + rateDrift * seconds;
    const cappedVariance = Math.min(variance, grown);
    const cappedRateVariance = Math.min(rateVariance, grownRate);
    // The covariance is scaled like the variances: too large a one would make later variances negative.
    const scale = Math.sqrt(
      (cappedVariance / grown) * (cappedRateVariance / grownRate),
    );
    return {
      mean: known.mean + known.rate * seconds,
      rate: known.rate,
      variance: cappedVariance,
      covariance: (known.covariance + seconds * known.rateVariance) * scale,
      rateVariance: cappedRateVariance,
      at: now,
    };
  }

  /**
   * Corrects a trend by an observation. `weight` is the factor of the value in the expected observation;
   * `innovation` is the observation's error and the variance that was expected of it.
   */
  correct(
    key: K,
    trend: Trend,
    weight: number,
    innovation: { readonly error: number; readonly variance: number },
    bounds: readonly [number, number],
  ): void {
    const kalmanGain = (trend.variance * weight) / innovation.variance;
    const rateGain = (trend.covariance * weight) / innovation.variance;
    const [lowest, highest] = bounds;
    const mean = trend.mean + kalmanGain * innovation.error;
    this.trends.set(key, {
      mean: Math.min(highest, Math.max(lowest, mean)),
      rate: trend.rate + rateGain * innovation.error,
      variance: trend.variance * (1 - kalmanGain * weight),
      covariance: trend.covariance * (1 - kalmanGain * weight),
      rateVariance: trend.rateVariance - rateGain * weight * trend.covariance,
      at: trend.at,
    });
  }
}
