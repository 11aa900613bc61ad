/** What is learnt of one service: its load curve, its neighbours' slowdowns and its spread. */
import type { Instant } from '../core/time.js';
import { CLASS_SLOTS } from './classes.js';
import {
  covarianceOf,
  createLinearFilter,
  diffuse,
  learn,
  resetCoefficient,
  varianceOf,
  type LinearFilter,
} from './linear-filter.js';
import { KNOT_COUNT, setLoadFeatures } from './load-curve.js';
import { createSpread, type Spread } from './spread.js';

/** Prior deviations: load curve, slowdown of a class at a whole worker, and its change by load. */
const CURVE_DEVIATION = 0.6;
const SLOWDOWN_DEVIATION = 1.5;
const SLOPE_DEVIATION = 0.8;

/** Deviations that an hour adds to what is known. */
const CURVE_DRIFT = 0.15;
const SLOWDOWN_DRIFT = 0.6;
const SLOPE_DRIFT = 0.2;

const HOUR_MS = 3_600_000;

/** Variance of a window's level beyond that of its samples, at the start and at least. */
const INITIAL_NOISE = 0.05;
const LEAST_NOISE = 0.002;
const NOISE_SMOOTHING = 0.01;

/** Smoothing of the mean request rate of a worker, by window. */
const RATE_SMOOTHING = 0.001;
const RATE_WARM_UP = 200;

/** Time constant of the trend, and the samples of a step that are trusted by half. */
const TREND_TIME_MS = 2_000;
const TREND_DOUBT = 20;
const MAX_SURGE = 4;

/** Residuals of single samples count up to this size. */
const MAX_RESIDUAL = 1.5;

/** Detection of a change: smoothing by window, greatest single surprise, and the threshold. */
const SURPRISE_SMOOTHING = 0.03;
const MAX_SURPRISE = 16;
const SURPRISED = 2;

const FIRST_SLOWDOWN = KNOT_COUNT;
const FIRST_SLOPE = KNOT_COUNT + CLASS_SLOTS;
const FEATURES = KNOT_COUNT + 2 * CLASS_SLOTS;

/** Shares of a worker's processors in use, by class slot. */
export type ClassShares = Float64Array;

/** State of one service. */
export interface ServiceModel {
  filter: LinearFilter;
  readonly features: Float64Array;
  readonly spread: Spread;
  /** Mean requests a second on one worker, as seen here. */
  meanRate: number;
  windows: number;
  /** Variance of a window's level that the regression leaves unexplained. */
  noise: number;
  /** Shift common to workers with hardly any batch work, in log milliseconds. */
  shift: number;
  /** Ratio of counted to predicted requests over the objective. */
  calibration: number;
  diffusedAt: Instant;
  ready: boolean;
  /** Smoothed ratio of squared innovations to their variance; 1 while the model holds. */
  surprise: number;
  /** What all workers together show since the last windows closed. */
  readonly trend: Trend;
}

/** Fast movement common to all workers of a service. */
export interface Trend {
  /** Factor on the rate of requests. */
  surge: number;
  /** Rise of the log level. */
  lift: number;
  /** Samples since the last step, and the sum of their residuals. */
  count: number;
  residuals: number;
}

/** A slowdown as the logarithm of the factor on response times. */
export interface Slowdown {
  readonly mean: number;
  readonly deviation: number;
}

/** Builds the state of a service of which nothing is known. */
export function createServiceModel(now: Instant): ServiceModel {
  return {
    filter: createFilter(0),
    features: new Float64Array(FEATURES),
    spread: createSpread(),
    meanRate: 0,
    windows: 0,
    noise: INITIAL_NOISE,
    shift: 0,
    calibration: 1,
    diffusedAt: now,
    ready: false,
    surprise: 1,
    trend: { surge: 1, lift: 0, count: 0, residuals: 0 },
  };
}

function createFilter(level: number): LinearFilter {
  const means = new Array<number>(FEATURES).fill(0).fill(level, 0, KNOT_COUNT);
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

/** Variances added when the model no longer holds. */
const WIDENING = Float64Array.from(byCoefficient(0.05, 0.7, 0.2), d => d ** 2);

/** Takes a window's request rate and returns the load relative to the mean. */
export function takeRate(model: ServiceModel, rate: number): number {
  model.windows += 1;
  const smoothing = Math.max(
    RATE_SMOOTHING,
    1 / Math.min(model.windows, RATE_WARM_UP),
  );
  model.meanRate += smoothing * (rate - model.meanRate);
  return rate / model.meanRate;
}

/** Sets the whole load curve to the level first seen. */
export function startLevel(model: ServiceModel, level: number): void {
  if (!model.ready) {
    model.filter = createFilter(level);
    model.ready = true;
  }
}

/** Forgets the class of a slot. */
export function forgetClass(model: ServiceModel, slot: number): void {
  resetCoefficient(model.filter, FIRST_SLOWDOWN + slot, 0, SLOWDOWN_DEVIATION);
  resetCoefficient(model.filter, FIRST_SLOPE + slot, 0, SLOPE_DEVIATION);
}

/** Lets knowledge fade for the time since the last call. */
export function fade(model: ServiceModel, now: Instant): void {
  const hours = Math.max(0, now - model.diffusedAt) / HOUR_MS;
  model.diffusedAt = now;
  const added = HOURLY_VARIANCES.map(variance => variance * hours);
  diffuse(model.filter, added, PRIOR_VARIANCES);
}

/** Adds a sample's residual against what was expected of its worker. */
export function addToTrend(trend: Trend, residual: number): void {
  trend.count += 1;
  trend.residuals += Math.min(MAX_RESIDUAL, Math.max(-MAX_RESIDUAL, residual));
}

/** Moves the trend by the samples of the last `elapsedMs`; `expectedRate` is of all workers. */
export function moveTrend(
  trend: Trend,
  expectedRate: number,
  elapsedMs: number,
): void {
  const expectedCount = (expectedRate * elapsedMs) / 1_000;
  if (expectedCount <= 0) {
    return;
  }
  const step = 1 - Math.exp(-elapsedMs / TREND_TIME_MS);
  const trust = step / (1 + TREND_DOUBT / expectedCount);
  const surge = trend.count / expectedCount;
  trend.surge += trust * (Math.min(MAX_SURGE, surge) - trend.surge);
  const lift = trend.count === 0 ? 0 : trend.residuals / trend.count;
  trend.lift += trust * (lift - trend.lift);
  trend.count = 0;
  trend.residuals = 0;
}

/** Learns from the level of one window with the batch work that then ran beside it. */
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
    features[FIRST_SLOWDOWN + slot] = share;
    features[FIRST_SLOPE + slot] = share * (load - 1);
  }
  const noise = sampleVariance + model.noise;
  const { innovation, variance } = learn(filter, features, level, noise);
  noteSurprise(model, innovation ** 2 / variance);
  const excess = Math.min(innovation ** 2, 9 * noise) - sampleVariance;
  model.noise += NOISE_SMOOTHING * (excess - model.noise);
  model.noise = Math.max(LEAST_NOISE, model.noise);
}

/** Where observations lie far off again and again, the truth has changed: knowledge is widened. */
function noteSurprise(model: ServiceModel, ratio: number): void {
  const bounded = Math.min(MAX_SURPRISE, ratio);
  model.surprise += SURPRISE_SMOOTHING * (bounded - model.surprise);
  if (model.surprise > SURPRISED) {
    model.surprise = 1;
    diffuse(model.filter, WIDENING, PRIOR_VARIANCES);
  }
}

/** Returns the log level of the service alone on a worker at `load`. */
export function baseline(model: ServiceModel, load: number): number {
  setLoadFeatures(model.features, load);
  let level = model.shift;
  for (let i = 0; i < KNOT_COUNT; i++) {
    level += (model.filter.mean[i] ?? 0) * (model.features[i] ?? 0);
  }
  return level;
}

/** Returns the slowdown by the class of `slot` when it uses `share` of a worker at `load`. */
export function slowdownOf(
  model: ServiceModel,
  slot: number,
  load: number,
  share: number,
): Slowdown {
  const offset = load - 1;
  const direct = FIRST_SLOWDOWN + slot;
  const slope = FIRST_SLOPE + slot;
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

/** Returns the slowdown by all classes of `shares` together. */
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
