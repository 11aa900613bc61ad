/**
 * Forecast of loads that oscillate with one period that all of them share, each with a mean, an amplitude and
 * a phase of its own. See docs/design/periodic-loads.md.
 */
import type { Instant, Millis } from '../core/time.js';
import {
  explainedFraction,
  fitHarmonic,
  harmonicAt,
  MAX_SAMPLES,
  Samples,
  type Harmonic,
  type HarmonicFit,
} from './harmonic.js';

/** Shortest time between two samples of a load. */
export const SAMPLE_INTERVAL_MS: Millis = 500;
/** Shortest time between two searches for the period. */
export const REFIT_INTERVAL_MS: Millis = 2_000;
/** Most loads whose samples determine the period. */
const MAX_POOLED_LOADS = 32;
/** Shortest and longest period: eight samples, and little more than the time that is sampled. */
const MIN_PERIOD_MS: Millis = 4_000;
const MAX_PERIOD_MS: Millis = 40_000;
/** Ratio of neighbouring periods in the search: two periods of samples then differ by a tenth of a period. */
const PERIOD_RATIO = 1.05;
/** Ratios by which the best period is refined; the last one is below the error that samples allow. */
const REFINED_RATIOS = [1.017, 1.006, 1.002];
/** Neighbours on each side that are searched around the period in force: changes by up to a tenth. */
const LOCAL_STEPS = 2;
/** Fraction of the variance that harmonics have to explain; a jump in the middle is explained by 0.81. */
const MIN_EXPLAINED = 0.8;
/** The same for a single load, which may not oscillate although others do. */
const MIN_OWN_EXPLAINED = 0.5;
/** Periods that samples have to cover for a period to be found, with few loads and with several. */
const MIN_PERIODS_FEW = 2;
const MIN_PERIODS_SEVERAL = 1.02;
const SEVERAL_LOADS = 4;
/** Periods that the samples of a load have to cover for a known period. */
const MIN_PERIODS_KNOWN = 0.5;
/**
 * Periods without samples after which earlier samples are dropped: fits use two periods, and samples on both
 * sides of a longer gap would seem to cover a period of which few are left.
 */
const MAX_GAP_PERIODS = 1.5;
/** Fewest samples of a load. */
const MIN_SAMPLES = 6;
/** Age of the newest sample beyond which a load is not forecast, and beyond which its samples are dropped. */
const MAX_SAMPLE_AGE_MS: Millis = 4_000;
const DROP_AFTER_MS: Millis = 32_000;
/** Time constant with which the difference between the present estimate and the harmonic decays. */
const CORRECTION_DECAY_MS: Millis = 1_500;

/** The shared period in force, and the fraction of the variance that it explains. */
export interface LoadPeriod {
  readonly periodMs: Millis;
  readonly explained: number;
}

interface SampledLoad {
  readonly samples: Samples;
  /** Fitted to the newest samples with the period in force; undefined if that has not been done yet. */
  harmonic: Harmonic | undefined;
}

/** Tells whether a value read from a record is a valid period. */
export function isValidPeriod(value: unknown): value is Millis {
  return (
    typeof value === 'number' &&
    value >= MIN_PERIOD_MS &&
    value <= MAX_PERIOD_MS
  );
}

/** Samples loads and forecasts them while a shared period explains them. */
export class PeriodicLoads<K> {
  private readonly loads = new Map<K, SampledLoad>();
  /** Last known period; in force only if it explains the samples well enough. */
  private known: LoadPeriod | undefined;
  private refittedAt: Instant = -Infinity;

  /** Creates a forecast that assumes the period of an earlier one until samples show otherwise. */
  constructor(
    earlierPeriodMs?: Millis,
    private readonly fit: HarmonicFit = fitHarmonic,
  ) {
    if (isValidPeriod(earlierPeriodMs)) {
      this.known = { periodMs: earlierPeriodMs, explained: 0 };
    }
  }

  /** The period in force; undefined if loads are not forecast. */
  get period(): LoadPeriod | undefined {
    const { known } = this;
    return known !== undefined && known.explained >= MIN_EXPLAINED
      ? known
      : undefined;
  }

  /** The period from which another forecast can start. */
  get knownPeriodMs(): Millis | undefined {
    return this.known?.periodMs;
  }

  /** Records the estimate of a load, unless a recent one is known; refits the period when that is due. */
  sample(key: K, value: number, now: Instant): void {
    let load = this.loads.get(key);
    if (load === undefined || now - load.samples.newestAt > this.maxGapMs) {
      load = { samples: new Samples(), harmonic: undefined };
      this.loads.set(key, load);
    }
    if (now - load.samples.newestAt < SAMPLE_INTERVAL_MS) {
      return;
    }
    load.samples.add(value, now);
    load.harmonic = undefined;
    if (now - this.refittedAt >= REFIT_INTERVAL_MS) {
      this.refittedAt = now;
      this.refit(now);
    }
  }

  /**
   * Returns the load at `time`, given its present estimate; undefined if it can't be forecast. The difference
   * between the estimate and the harmonic now decays over the forecast.
   */
  forecast(
    key: K,
    present: { readonly value: number; readonly at: Instant },
    time: Instant,
  ): number | undefined {
    const harmonic = this.harmonicOf(key, present.at);
    if (harmonic === undefined) {
      return undefined;
    }
    const error = present.value - harmonicAt(harmonic, present.at);
    const aheadMs = Math.max(0, time - present.at);
    const decay = Math.exp(-aheadMs / CORRECTION_DECAY_MS);
    return harmonicAt(harmonic, present.at + aheadMs) + error * decay;
  }

  private get maxGapMs(): Millis {
    return MAX_GAP_PERIODS * (this.known?.periodMs ?? MIN_PERIOD_MS);
  }

  private harmonicOf(key: K, now: Instant): Harmonic | undefined {
    const { period } = this;
    const load = this.loads.get(key);
    if (period === undefined || load === undefined) {
      return undefined;
    }
    const { samples } = load;
    if (
      !covers(samples, MIN_PERIODS_KNOWN * period.periodMs) ||
      now - samples.newestAt > MAX_SAMPLE_AGE_MS
    ) {
      return undefined;
    }
    load.harmonic ??= this.fit(samples, period.periodMs);
    return explainedFraction([load.harmonic]) >= MIN_OWN_EXPLAINED
      ? load.harmonic
      : undefined;
  }

  /** Drops loads without recent samples and fits the shared period again. */
  private refit(now: Instant): void {
    for (const [key, load] of this.loads) {
      load.harmonic = undefined;
      if (now - load.samples.newestAt > DROP_AFTER_MS) {
        this.loads.delete(key);
      }
    }
    const pooled = this.pooledSamples();
    this.known = this.confirmKnown(pooled) ?? this.search(pooled);
  }

  /** Returns samples of at most 32 loads, spread evenly over all of them. */
  private pooledSamples(): Samples[] {
    const all = [...this.loads.values()]
      .map(({ samples }) => samples)
      .filter(samples => covers(samples, MIN_PERIODS_KNOWN * MIN_PERIOD_MS));
    const count = Math.min(MAX_POOLED_LOADS, all.length);
    return Array.from({ length: count }, (_, at) =>
      all.at(Math.floor((at * all.length) / count)),
    ).filter(samples => samples !== undefined);
  }

  /** Returns the known period, refined, if it explains the samples or they are too few to tell. */
  private confirmKnown(pooled: readonly Samples[]): LoadPeriod | undefined {
    if (this.known === undefined) {
      return undefined;
    }
    const { periodMs } = this.known;
    if (eligible(pooled, periodMs).length > 0) {
      const near = this.bestOf(pooled, around(periodMs, PERIOD_RATIO));
      const refined = this.refine(pooled, near);
      return isGood(refined) ? refined : undefined;
    }
    const short = pooled.filter(samples =>
      covers(samples, MIN_PERIODS_KNOWN * periodMs),
    );
    const kept = { periodMs, explained: this.explainedBy(short, periodMs) };
    // Samples that are full will never cover a period that is longer than they are.
    const areFull = short.some(({ count }) => count === MAX_SAMPLES);
    return areFull && !isGood(kept) ? undefined : kept;
  }

  /**
   * Searches all periods for one that explains the samples. The longest that the samples can tell is not taken,
   * since a longer one may explain them better.
   */
  private search(pooled: readonly Samples[]): LoadPeriod | undefined {
    const found = this.bestOf(pooled, allPeriods());
    const next = (found?.periodMs ?? 0) * PERIOD_RATIO;
    if (found === undefined || eligible(pooled, next).length === 0) {
      return undefined;
    }
    const best = this.refine(pooled, found);
    return isGood(best) ? best : undefined;
  }

  private refine(
    pooled: readonly Samples[],
    start: LoadPeriod | undefined,
  ): LoadPeriod | undefined {
    return REFINED_RATIOS.reduce(
      (best, ratio) =>
        best && this.bestOf(pooled, around(best.periodMs, ratio)),
      start,
    );
  }

  /** Returns the period that explains most; undefined if no samples cover any of them. */
  private bestOf(
    pooled: readonly Samples[],
    periods: Iterable<Millis>,
  ): LoadPeriod | undefined {
    let best: LoadPeriod | undefined;
    for (const periodMs of periods) {
      const samples = eligible(pooled, periodMs);
      if (samples.length > 0) {
        const explained = this.explainedBy(samples, periodMs);
        if (explained > (best?.explained ?? -1)) {
          best = { periodMs, explained };
        }
      }
    }
    return best;
  }

  private explainedBy(pooled: readonly Samples[], periodMs: Millis): number {
    return explainedFraction(
      pooled.map(samples => this.fit(samples, periodMs)),
    );
  }
}

function isGood(found: LoadPeriod | undefined): found is LoadPeriod {
  return found !== undefined && found.explained >= MIN_EXPLAINED;
}

function covers(samples: Samples, ms: Millis): boolean {
  return samples.count >= MIN_SAMPLES && samples.spanMs >= ms;
}

/** Returns the samples that cover enough periods to tell whether a period explains them. */
function eligible(pooled: readonly Samples[], periodMs: Millis): Samples[] {
  const covering = pooled.filter(samples =>
    covers(samples, MIN_PERIODS_SEVERAL * periodMs),
  );
  return covering.length >= SEVERAL_LOADS
    ? covering
    : covering.filter(samples => covers(samples, MIN_PERIODS_FEW * periodMs));
}

function* allPeriods(): Iterable<Millis> {
  for (let ms = MIN_PERIOD_MS; ms <= MAX_PERIOD_MS; ms *= PERIOD_RATIO) {
    yield ms;
  }
}

/** Returns a period and its neighbours at a ratio, within the limits. */
function around(periodMs: Millis, ratio: number): Millis[] {
  const found: Millis[] = [];
  for (let step = -LOCAL_STEPS; step <= LOCAL_STEPS; step += 1) {
    const near = periodMs * ratio ** step;
    found.push(Math.min(MAX_PERIOD_MS, Math.max(MIN_PERIOD_MS, near)));
  }
  return found;
}
