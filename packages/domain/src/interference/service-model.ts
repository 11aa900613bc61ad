/** Learned model of one service: its load curve, its slowdown by each batch class and the spread of response times. */
import type { Instant } from '../core/time.js';
import { CLASS_SLOTS } from './classes.js';
import {
  covarianceOf,
  createLinearFilter,
  diffuse,
  updateFilter,
  resetCoefficient,
  varianceOf,
  type LinearFilter,
} from './linear-filter.js';
import { KNOT_COUNT, setLoadFeatures } from './load-curve.js';
import { createSpread, type Spread } from './spread.js';

/**
 * Prior standard deviations of the load curve, of the slowdown by a class that uses a whole worker,
 * and of the change of that slowdown with load.
 */
const CURVE_DEVIATION = 0.6;
const SLOWDOWN_DEVIATION = 1.5;
const SLOPE_DEVIATION = 0.8;

/** Standard deviations by which the coefficients drift in an hour. */
const CURVE_DRIFT = 0.15;
const SLOWDOWN_DRIFT = 0.6;
const SLOPE_DRIFT = 0.2;

const HOUR_MS = 3_600_000;

/** Initial and minimum variance of a window's level beyond that of its samples. */
const INITIAL_NOISE = 0.05;
const MIN_NOISE = 0.002;
const NOISE_SMOOTHING = 0.01;

/** Smoothing per window of the mean request rate of a worker. */
const RATE_SMOOTHING = 0.001;
const RATE_WARM_UP_WINDOWS = 200;

/** Time constant of the trend, and the samples per step at which its gain is halved. */
const TREND_TIME_CONSTANT_MS = 2_000;
const TREND_HALF_GAIN_SAMPLES = 20;
const MAX_RATE_FACTOR = 4;

/** Range to which the residuals of single samples are clamped. */
const MAX_RESIDUAL = 1.5;

/** Change detection: smoothing per window, maximum surprise of one window, and threshold. */
const SURPRISE_SMOOTHING = 0.03;
const MAX_SURPRISE = 16;
const SURPRISE_THRESHOLD = 2;

const SLOWDOWN_INDEX = KNOT_COUNT;
const SLOPE_INDEX = KNOT_COUNT + CLASS_SLOTS;
const FEATURE_COUNT = KNOT_COUNT + 2 * CLASS_SLOTS;

/** Shares of a worker's processors in use by batch work, by class slot. */
export type ClassShares = Float64Array;

/** Learned state of one service. */
export interface ServiceModel {
  filter: LinearFilter;
  readonly features: Float64Array;
  readonly spread: Spread;
  /** Mean requests per second on one worker, as seen by this host. */
  meanRate: number;
  windows: number;
  /** Variance of a window's level that the regression leaves unexplained. */
  noise: number;
  /** Level shift common to all workers, estimated on those with little batch work, in log milliseconds. */
  shift: number;
  /** Ratio of observed to predicted requests that miss the objective. */
  calibration: number;
  diffusedAt: Instant;
  ready: boolean;
  /** Smoothed ratio of squared innovations to their variance; about 1 while the model is valid. */
  surprise: number;
  /** Changes common to all workers since the last windows closed. */
  readonly trend: Trend;
}

/** Short-term changes common to all workers of a service. */
export interface Trend {
  /** Factor on the request rate. */
  rateFactor: number;
  /** Rise of the log level. */
  levelRise: number;
  /** Number of samples since the last step, and the sum of their residuals. */
  count: number;
  residualSum: number;
}

/** A slowdown, as the logarithm of a factor on response times, with its standard deviation. */
export interface Slowdown {
  readonly mean: number;
  readonly deviation: number;
}

/** Creates the model of a service without samples. */
export function createServiceModel(now: Instant): ServiceModel {
  return {
    filter: createFilter(0),
    features: new Float64Array(FEATURE_COUNT),
    spread: createSpread(),
    meanRate: 0,
    windows: 0,
    noise: INITIAL_NOISE,
    shift: 0,
    calibration: 1,
    diffusedAt: now,
    ready: false,
    surprise: 1,
    trend: { rateFactor: 1, levelRise: 0, count: 0, residualSum: 0 },
  };
}

function createFilter(level: number): LinearFilter {
  const means = new Array<number>(FEATURE_COUNT)
    .fill(0)
    .fill(level, 0, KNOT_COUNT);
  return createLinearFilter(means, priorDeviations());
}

function priorDeviations(): number[] {
  return byCoefficient(CURVE_DEVIATION, SLOWDOWN_DEVIATION, SLOPE_DEVIATION);
}

function byCoefficient(
  curve: number,
  slowdown: number,
  slope: number,
): number[] {
  return [
    ...new Array<number>(KNOT_COUNT).fill(curve),
    ...new Array<number>(CLASS_SLOTS).fill(slowdown),
    ...new Array<number>(CLASS_SLOTS).fill(slope),
  ];
}

const PRIOR_VARIANCES = Float64Array.from(priorDeviations(), d => d ** 2);
const HOURLY_VARIANCES = Float64Array.from(
  byCoefficient(CURVE_DRIFT, SLOWDOWN_DRIFT, SLOPE_DRIFT),
  d => d ** 2,
);

/** Variances added to the coefficients when a change is detected. */
const CHANGE_VARIANCES = Float64Array.from(
  byCoefficient(0.05, 0.7, 0.2),
  d => d ** 2,
);

/** Updates the mean request rate with that of a window and returns the window's load relative to the mean. */
export function updateMeanRate(model: ServiceModel, rate: number): number {
  model.windows += 1;
  const smoothing = Math.max(
    RATE_SMOOTHING,
    1 / Math.min(model.windows, RATE_WARM_UP_WINDOWS),
  );
  model.meanRate += smoothing * (rate - model.meanRate);
  return rate / model.meanRate;
}

/** Initializes the whole load curve to the level of the first window. */
export function initializeLevel(model: ServiceModel, level: number): void {
  if (!model.ready) {
    model.filter = createFilter(level);
    model.ready = true;
  }
}

/** Resets the coefficients of a class slot. */
export function resetClass(model: ServiceModel, slot: number): void {
  resetCoefficient(model.filter, SLOWDOWN_INDEX + slot, 0, SLOWDOWN_DEVIATION);
  resetCoefficient(model.filter, SLOPE_INDEX + slot, 0, SLOPE_DEVIATION);
}

/** Adds the drift of the coefficients for the time since the last call. */
export function diffuseForElapsed(model: ServiceModel, now: Instant): void {
  const hours = Math.max(0, now - model.diffusedAt) / HOUR_MS;
  model.diffusedAt = now;
  const added = HOURLY_VARIANCES.map(variance => variance * hours);
  diffuse(model.filter, added, PRIOR_VARIANCES);
}

/** Adds a sample's residual against the expected level of its worker. */
export function addToTrend(trend: Trend, residual: number): void {
  trend.count += 1;
  trend.residualSum += Math.min(
    MAX_RESIDUAL,
    Math.max(-MAX_RESIDUAL, residual),
  );
}

/** Updates the trend with the samples of the last `elapsedMs`; `expectedRate` is the sum over all workers. */
export function updateTrend(
  trend: Trend,
  expectedRate: number,
  elapsedMs: number,
): void {
  const expectedCount = (expectedRate * elapsedMs) / 1_000;
  if (expectedCount <= 0) {
    return;
  }
  const step = 1 - Math.exp(-elapsedMs / TREND_TIME_CONSTANT_MS);
  const gain = step / (1 + TREND_HALF_GAIN_SAMPLES / expectedCount);
  const rateRatio = trend.count / expectedCount;
  trend.rateFactor +=
    gain * (Math.min(MAX_RATE_FACTOR, rateRatio) - trend.rateFactor);
  const meanResidual = trend.count === 0 ? 0 : trend.residualSum / trend.count;
  trend.levelRise += gain * (meanResidual - trend.levelRise);
  trend.count = 0;
  trend.residualSum = 0;
}

/** Learns from the level of one window and the batch work that ran on the worker at that time. */
export function learnWindow(
  model: ServiceModel,
  load: number,
  shares: ClassShares,
  level: number,
  sampleVariance: number,
): void {
  const { features, filter } = model;
  setLoadFeatures(features, load);
  for (let slot = 0; slot < CLASS_SLOTS; slot++) {
    const share = shares[slot] ?? 0;
    features[SLOWDOWN_INDEX + slot] = share;
    features[SLOPE_INDEX + slot] = share * (load - 1);
  }
  const noise = sampleVariance + model.noise;
  const { innovation, variance } = updateFilter(filter, features, level, noise);
  updateSurprise(model, innovation ** 2 / variance);
  const excess = Math.min(innovation ** 2, 9 * noise) - sampleVariance;
  model.noise += NOISE_SMOOTHING * (excess - model.noise);
  model.noise = Math.max(MIN_NOISE, model.noise);
}

/** Widens the coefficients' variances after repeated large innovations, which show that the service has changed. */
function updateSurprise(model: ServiceModel, ratio: number): void {
  const bounded = Math.min(MAX_SURPRISE, ratio);
  model.surprise += SURPRISE_SMOOTHING * (bounded - model.surprise);
  if (model.surprise > SURPRISE_THRESHOLD) {
    model.surprise = 1;
    diffuse(model.filter, CHANGE_VARIANCES, PRIOR_VARIANCES);
  }
}

/** Returns the log level of the service at `load` on a worker without batch work. */
export function baseline(model: ServiceModel, load: number): number {
  setLoadFeatures(model.features, load);
  let level = model.shift;
  for (let i = 0; i < KNOT_COUNT; i++) {
    level += (model.filter.mean[i] ?? 0) * (model.features[i] ?? 0);
  }
  return level;
}

/** Returns the slowdown at `load` by the class of `slot` when it uses `share` of a worker. */
export function slowdownOf(
  model: ServiceModel,
  slot: number,
  load: number,
  share: number,
): Slowdown {
  const offset = load - 1;
  const direct = SLOWDOWN_INDEX + slot;
  const slope = SLOPE_INDEX + slot;
  const { filter } = model;
  const perWorker =
    (filter.mean[direct] ?? 0) + offset * (filter.mean[slope] ?? 0);
  const variance =
    varianceOf(filter, direct) +
    2 * offset * covarianceOf(filter, direct, slope) +
    offset ** 2 * varianceOf(filter, slope);
  return {
    mean: Math.max(0, perWorker) * share,
    deviation: Math.sqrt(Math.max(0, variance)) * share,
  };
}

/** Returns the total slowdown by all classes at the given shares. */
export function totalSlowdown(
  model: ServiceModel,
  load: number,
  shares: ClassShares,
): number {
  let sum = 0;
  for (let slot = 0; slot < CLASS_SLOTS; slot++) {
    const share = shares[slot] ?? 0;
    if (share > 0) {
      sum += slowdownOf(model, slot, load, share).mean;
    }
  }
  return sum;
}
