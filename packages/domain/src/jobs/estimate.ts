/** Scalar Kalman filters: estimates with a variance that grows over time. */
import type { Instant } from '../core/time.js';

const MS_PER_S = 1000;

/** Estimate of a quantity. */
export interface Estimate {
  readonly mean: number;
  readonly variance: number;
}

/** Growth of a variance per second. */
export interface Drift {
  readonly constant: number;
  /** Growth per square of the mean. */
  readonly perSquaredMean: number;
}

interface DatedEstimate extends Estimate {
  readonly at: Instant;
}

/** Estimates by key. */
export class Estimates<K> {
  private readonly estimates = new Map<K, DatedEstimate>();

  /** Creates estimates that start at `initial` and whose variance grows by `drift`. */
  constructor(
    private readonly initial: Estimate,
    private readonly drift: Drift,
  ) {}

  /** Sets an estimate to one that was made elsewhere, as of `at`. */
  seed(key: K, estimate: Estimate, at: Instant): void {
    this.estimates.set(key, { ...estimate, at });
  }

  /** Returns all estimates, the most recently corrected one last. */
  entries(): Iterable<readonly [K, Estimate]> {
    return this.estimates.entries();
  }

  /** Returns the estimate as of its last correction. */
  latest(key: K): Estimate {
    return this.estimates.get(key) ?? this.initial;
  }

  /** Returns the estimate as of `now`; its variance never exceeds the initial one. */
  at(key: K, now: Instant): DatedEstimate {
    const known = this.estimates.get(key);
    if (known === undefined) {
      return { ...this.initial, at: now };
    }
    const { constant, perSquaredMean } = this.drift;
    const growth = constant + perSquaredMean * known.mean ** 2;
    const grown = known.variance + (growth * (now - known.at)) / MS_PER_S;
    const variance = Math.min(grown, this.initial.variance);
    return { mean: known.mean, variance, at: now };
  }

  /**
   * Corrects an estimate by an observation. `weight` is the factor of the estimate in the expected
   * observation; `innovation` is the observation's error and the variance that was expected of it.
   */
  correct(
    key: K,
    { mean, variance, at }: DatedEstimate,
    weight: number,
    innovation: { readonly error: number; readonly variance: number },
    bounds: readonly [number, number],
  ): void {
    const kalmanGain = (variance * weight) / innovation.variance;
    const corrected = mean + kalmanGain * innovation.error;
    const [lowest, highest] = bounds;
    this.estimates.delete(key);
    this.estimates.set(key, {
      mean: Math.min(highest, Math.max(lowest, corrected)),
      variance: variance * (1 - kalmanGain * weight),
      at,
    });
  }
}
