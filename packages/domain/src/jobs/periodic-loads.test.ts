/**
 * Guards against forecasts that are worse than the linear extrapolation: of loads that oscillate (their serving
 * tasks are over their targets at the peak, and capacity stays unused at the trough), and of loads that do not,
 * which must not be forecast by a period that noise suggests.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';

import type { Instant, Millis, Random } from '../core/time.js';
import { seededRandom } from '../core/random.js';
import { fitHarmonic } from './harmonic.js';
import {
  PeriodicLoads,
  REFIT_INTERVAL_MS,
  SAMPLE_INTERVAL_MS,
} from './periodic-loads.js';
import { Trends } from './trend.js';

const PERIOD_MS = 10_000;
const MEAN = 0.42;
const SWING = 0.5;
/** Largest error of a reading, in load. */
const READING_ERROR = 0.05;
/** Time between two readings of a step: 14 tasks report every 350 ms to 1 s, some at once. */
const READING_MS: Millis = 200;
const AHEAD_MS: Millis = 2_000;
const EXTRAPOLATION_MS: Millis = 2_000;
/** As in interference.ts. */
const MODEL = {
  mean: 0.5,
  variance: 0.2 ** 2,
  rateVariance: 0.07 ** 2,
  drift: 0.001,
  rateDrift: 0.003,
};
const READING_VARIANCE = 0.05 ** 2;
const BOUNDS = [0.05, 0.98] as const;

type LoadAt = (step: number, time: Instant) => number;

/** Oscillates with a phase of its own for each step. */
function oscillating(periodMs = PERIOD_MS): LoadAt {
  return (step, time) =>
    MEAN *
    (1 + SWING * Math.sin(2 * Math.PI * (time / periodMs + step * 0.618)));
}

/** Filtered loads of some steps, sampled as the interference model does. */
class Fleet {
  now: Instant = 0;
  readonly trends = new Trends<number>(MODEL);

  constructor(
    private readonly loadAt: LoadAt,
    private readonly steps: number,
    readonly loads: PeriodicLoads<number>,
    private readonly random: Random,
  ) {}

  /** Reads all loads until `time`, except in a gap. */
  run(time: Instant, hasReading: (now: Instant) => boolean = () => true): void {
    while (this.now < time) {
      this.now += READING_MS;
      if (hasReading(this.now)) {
        for (let step = 0; step < this.steps; step += 1) {
          this.read(step);
        }
      }
    }
  }

  /** Returns the mean squared errors 2 s ahead of the forecast and of the line, and how many are forecast. */
  errors(): { forecast: number; line: number; forecasts: number } {
    const at = this.now;
    let [forecast, line, forecasts] = [0, 0, 0];
    for (let step = 0; step < this.steps; step += 1) {
      const truth = this.loadAt(step, at + AHEAD_MS);
      const value = this.trends.predict(step, at, EXTRAPOLATION_MS);
      const linear = this.trends.predict(step, at + AHEAD_MS, EXTRAPOLATION_MS);
      const found = this.loads.forecast(step, { value, at }, at + AHEAD_MS);
      forecasts += Number(found !== undefined);
      forecast += ((found ?? linear) - truth) ** 2 / this.steps;
      line += (linear - truth) ** 2 / this.steps;
    }
    return { forecast, line, forecasts };
  }

  private read(step: number): void {
    const { now, trends } = this;
    const noise = READING_ERROR * (2 * this.random() - 1);
    const trend = trends.at(step, now);
    const error = this.loadAt(step, now) + noise - trend.mean;
    const variance = trend.variance + READING_VARIANCE;
    trends.correct(step, trend, 1, { error, variance }, BOUNDS);
    this.loads.sample(step, trends.predict(step, now, 0), now);
  }
}

function fleetOf(
  loadAt: LoadAt,
  seed = 1,
  steps = 24,
  earlier?: Millis,
): Fleet {
  const loads = new PeriodicLoads<number>(earlier);
  return new Fleet(loadAt, steps, loads, seededRandom(seed));
}

function assertPeriod(fleet: Fleet, periodMs: Millis): void {
  const found = fleet.loads.period?.periodMs ?? 0;
  const error = Math.abs(found / periodMs - 1);
  assert.ok(error < 0.03, `${found} ms instead of ${periodMs} ms`);
}

test('the period of oscillating loads is found within 12 s', () => {
  for (let seed = 1; seed <= 5; seed += 1) {
    const fleet = fleetOf(oscillating(), seed);
    fleet.run(12_200);
    assertPeriod(fleet, PERIOD_MS);
  }
});

test('periods from 4 s to 25 s are found', () => {
  for (const periodMs of [4_500, 7_000, 13_000, 25_000]) {
    const fleet = fleetOf(oscillating(periodMs));
    fleet.run(33_000);
    assertPeriod(fleet, periodMs);
  }
});

test('the forecast of oscillating loads is well below the error of the line', () => {
  let [forecast, line] = [0, 0];
  const fleet = fleetOf(oscillating());
  for (let time = 14_000; time <= 34_000; time += 700) {
    fleet.run(time);
    const errors = fleet.errors();
    assert.equal(errors.forecasts, 24);
    forecast += errors.forecast;
    line += errors.line;
  }
  const ratio = Math.sqrt(forecast / line);
  assert.ok(ratio < 0.4, `${ratio} of the error of the line`);
});

// A false period would place fillers where the load is about to rise.
test('loads without a period are not forecast', () => {
  for (let seed = 1; seed <= 10; seed += 1) {
    const random = seededRandom(100 + seed);
    const values = Array.from({ length: 24 }, () => MEAN);
    let steppedAt = 0;
    const fleet = fleetOf((step, time) => {
      if (time > steppedAt) {
        steppedAt = time;
        values.forEach((value, at) => {
          const moved = value + 0.03 * (2 * random() - 1);
          values[at] = Math.min(0.8, Math.max(0.1, moved));
        });
      }
      return values[step] ?? MEAN;
    }, seed);
    for (let time = 2_000; time <= 60_000; time += 2_000) {
      fleet.run(time);
      assert.equal(fleet.loads.period, undefined, `seed ${seed}, ${time} ms`);
    }
  }
});

test('constant and steadily rising loads are not forecast', () => {
  const shapes: LoadAt[] = [
    () => MEAN,
    (step, time) => 0.2 + (0.4 * time) / 60_000 + 0.01 * step,
  ];
  for (const loadAt of shapes) {
    const fleet = fleetOf(loadAt);
    for (let time = 2_000; time <= 60_000; time += 2_000) {
      fleet.run(time);
      assert.equal(fleet.loads.period, undefined, `${time} ms`);
    }
  }
});

// The harmonic of a sawtooth explains 0.61 of its variance, and is off by a quarter of its swing at the jump.
test('oscillating loads that are no harmonics are not forecast', () => {
  const fleet = fleetOf((step, time) => {
    const phase = (time / PERIOD_MS + step * 0.618) % 1;
    return MEAN * (1 + SWING * (2 * phase - 1));
  });
  for (let time = 2_000; time <= 60_000; time += 2_000) {
    fleet.run(time);
    assert.equal(fleet.loads.period, undefined, `${time} ms`);
  }
});

test('a difference of the present estimate from the harmonic decays over the forecast', () => {
  const fleet = fleetOf(oscillating());
  fleet.run(24_000);
  const at = fleet.now;
  const differenceAt = (aheadMs: Millis): number => {
    const [high = NaN, low = NaN] = [0.6, 0.4].map(value =>
      fleet.loads.forecast(0, { value, at }, at + aheadMs),
    );
    return high - low;
  };
  assert.ok(Math.abs(differenceAt(0) - 0.2) < 1e-9);
  assert.ok(differenceAt(500) > 0.1);
  assert.ok(differenceAt(10_000) < 0.01);
});

test('a period that changes is dropped and the new one is found', () => {
  const [before, after] = [oscillating(), oscillating(16_000)];
  const fleet = fleetOf((step, time) =>
    time < 40_000 ? before(step, time) : after(step, time),
  );
  fleet.run(39_000);
  assertPeriod(fleet, PERIOD_MS);
  fleet.run(80_000);
  assertPeriod(fleet, 16_000);
});

// The errors just after a jump are bounded by those of the line, since the present estimate corrects both.
test('a jump of all loads is followed, and the period is found again', () => {
  const loadAt: LoadAt = (step, time) =>
    oscillating()(step, time) + (time < 40_000 ? 0 : 0.15);
  const fleet = fleetOf(loadAt);
  for (let time = 41_500; time <= 60_000; time += 500) {
    fleet.run(time);
    const { forecast, line } = fleet.errors();
    assert.ok(Math.sqrt(forecast) < Math.sqrt(line) + 0.05, `${time} ms`);
  }
  fleet.run(72_000);
  assertPeriod(fleet, PERIOD_MS);
  assert.equal(fleet.errors().forecasts, 24);
});

test('a load with few samples is not forecast', () => {
  const fleet = fleetOf(oscillating());
  fleet.run(20_000);
  for (let time = 20_000; time <= 24_000; time += SAMPLE_INTERVAL_MS) {
    fleet.loads.sample(99, MEAN, time);
  }
  const present = { value: MEAN, at: 24_000 };
  assert.equal(fleet.loads.forecast(99, present, 25_000), undefined);
});

// A step that does not oscillate must not be forecast by the fit of the others.
test('a single load that does not oscillate is not forecast', () => {
  const fleet = fleetOf((step, time) =>
    step === 3 ? MEAN : oscillating()(step, time),
  );
  fleet.run(24_000);
  assertPeriod(fleet, PERIOD_MS);
  assert.equal(fleet.errors().forecasts, 23);
});

test('without samples the line is used, and the forecast resumes with them', () => {
  const fleet = fleetOf(oscillating());
  const isHeard = (now: Instant): boolean => now < 30_000 || now > 40_000;
  fleet.run(36_000, isHeard);
  assert.equal(fleet.errors().forecasts, 0);
  fleet.run(46_000, isHeard);
  assertPeriod(fleet, PERIOD_MS);
  assert.equal(fleet.errors().forecasts, 24);
});

// The first samples after a long gap would otherwise seem to cover the period without being explained by it.
test('the period is kept over a gap longer than what a fit uses', () => {
  for (const gapMs of [22_000, 60_000]) {
    const fleet = fleetOf(oscillating());
    const end = 30_000 + gapMs;
    fleet.run(end + 1_000, now => now < 30_000 || now > end);
    const known = fleet.loads.knownPeriodMs ?? 0;
    assert.ok(Math.abs(known / PERIOD_MS - 1) < 0.03, `${known} ms`);
    assert.equal(fleet.errors().forecasts, 0);
    fleet.run(end + 8_000);
    assertPeriod(fleet, PERIOD_MS);
    assert.equal(fleet.errors().forecasts, 24);
  }
});

test('half a period of samples is enough with the period of an earlier leader', () => {
  const fleet = fleetOf(oscillating(), 1, 24, PERIOD_MS);
  fleet.run(4_000);
  assert.equal(fleet.errors().forecasts, 0);
  fleet.run(8_000);
  const { forecast, line, forecasts } = fleet.errors();
  assert.equal(forecasts, 24);
  assert.ok(forecast < line, `${forecast} and ${line}`);
});

test('a wrong period of an earlier leader is replaced', () => {
  const fleet = fleetOf(oscillating(), 1, 24, 17_000);
  fleet.run(24_000);
  assertPeriod(fleet, PERIOD_MS);
});

// Samples never cover such a period, so that it would block the search for good.
test('a wrong period that is longer than all samples is replaced', () => {
  const fleet = fleetOf(oscillating(), 1, 24, 38_000);
  fleet.run(40_000);
  assertPeriod(fleet, PERIOD_MS);
});

test('the period is dropped when the loads become constant', () => {
  const fleet = fleetOf((step, time) =>
    time < 30_000 ? oscillating()(step, time) : MEAN,
  );
  fleet.run(29_000);
  assertPeriod(fleet, PERIOD_MS);
  fleet.run(75_000);
  assert.equal(fleet.loads.period, undefined);
});

/** Loads whose samples are fitted in a search, and most periods to which they are. */
const POOLED_LOADS = 32;
const MAX_PERIODS_TRIED = 80;

/** Returns the most fits of one search for the period. */
function fitsWith(steps: number, loadAt: LoadAt): number {
  let [fits, most] = [0, 0];
  const loads = new PeriodicLoads<number>(undefined, (samples, periodMs) => {
    fits += 1;
    return fitHarmonic(samples, periodMs);
  });
  for (let now = 0; now <= 40_000; now += SAMPLE_INTERVAL_MS) {
    fits = 0;
    for (let step = 0; step < steps; step += 1) {
      loads.sample(step, loadAt(step, now), now);
    }
    most = Math.max(most, fits);
  }
  return most;
}

// With 2,000 steps, fitting all of them would take the leader's processor for half a second.
test('a search costs no more with 2,000 steps than with 32', () => {
  const random = seededRandom(7);
  for (const loadAt of [oscillating(), () => random()]) {
    const most = fitsWith(2_000, loadAt);
    assert.ok(most > 0);
    assert.ok(most <= fitsWith(POOLED_LOADS, loadAt) + POOLED_LOADS);
    assert.ok(most <= MAX_PERIODS_TRIED * POOLED_LOADS, `${most} fits`);
  }
});

test('the period is searched for every 2 s at most', () => {
  const searches: Instant[] = [];
  let now = 0;
  const loads = new PeriodicLoads<number>(undefined, (samples, periodMs) => {
    if (searches.at(-1) !== now) {
      searches.push(now);
    }
    return fitHarmonic(samples, periodMs);
  });
  for (; now <= 30_000; now += 100) {
    for (let step = 0; step < 8; step += 1) {
      loads.sample(step, oscillating()(step, now), now);
    }
  }
  const gaps = searches
    .slice(1)
    .map((at, index) => at - (searches[index] ?? 0));
  assert.ok(gaps.length > 5);
  assert.ok(Math.min(...gaps) >= REFIT_INTERVAL_MS);
});
