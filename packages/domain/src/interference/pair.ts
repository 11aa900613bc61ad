/** Response times of one service on one worker: samples in windows, and the local level. */
import type { Instant } from '../core/time.js';

/** Samples of a window that are kept one by one for the spread. */
const KEPT_SAMPLES = 64;

/** A window closes once it is this old and has enough samples, or at the latest age. */
const WINDOW_MS = 5_000;
const LATEST_WINDOW_MS = 20_000;
const ENOUGH_SAMPLES = 8;

/** Closed windows that wait for the usage report of their time. */
const MAX_PENDING = 24;

/** Variance of the local level: at most, and its growth a second. */
const LOCAL_VARIANCE = 0.3;
const LOCAL_DRIFT = 0.002;

/** Time constant with which the local level returns to the model's, in milliseconds. */
const LOCAL_RETURN_MS = 120_000;

const RATE_SMOOTHING = 0.4;

/** A closed window. */
export interface ClosedWindow {
  readonly endedAt: Instant;
  /** Mean of the logarithms of the response times (ms). */
  readonly level: number;
  readonly sampleVariance: number;
  readonly load: number;
  readonly shift: number;
}

/** State of one service on one worker. */
export interface Pair {
  readonly service: string;
  readonly worker: string;
  startedAt: Instant;
  count: number;
  sum: number;
  sumSquares: number;
  bad: number;
  readonly kept: Float64Array;
  /** Requests a second, smoothed. */
  rate: number;
  /** Load relative to the service's mean. */
  load: number;
  /** How far the level lies above the model's expectation, with its variance. */
  offset: number;
  offsetVariance: number;
  /** Log level expected when last forecast, for the trend of the service; undefined before. */
  expected: number | undefined;
  seenAt: Instant;
  readonly pending: ClosedWindow[];
}

/** What a window of samples amounts to when it closes. */
export interface WindowSummary {
  readonly count: number;
  readonly bad: number;
  readonly level: number;
  readonly sampleVariance: number;
  readonly ratePerSecond: number;
  readonly seconds: number;
}

/** Builds the state of a pair without samples. */
export function createPair(
  service: string,
  worker: string,
  now: Instant,
): Pair {
  return {
    service,
    worker,
    startedAt: now,
    count: 0,
    sum: 0,
    sumSquares: 0,
    bad: 0,
    kept: new Float64Array(KEPT_SAMPLES),
    rate: 0,
    load: 1,
    offset: 0,
    offsetVariance: LOCAL_VARIANCE,
    expected: undefined,
    seenAt: now,
    pending: [],
  };
}

/** Adds the logarithm of one response time. */
export function addSample(
  pair: Pair,
  log: number,
  bad: boolean,
  at: Instant,
): void {
  if (pair.count === 0 && at - pair.startedAt > LATEST_WINDOW_MS) {
    pair.startedAt = at;
  }
  pair.kept[pair.count % KEPT_SAMPLES] = log;
  pair.count += 1;
  pair.sum += log;
  pair.sumSquares += log * log;
  pair.bad += bad ? 1 : 0;
  pair.seenAt = Math.max(pair.seenAt, at);
}

/** Tells whether the window of the pair is to be closed at `now`. */
export function windowEnds(pair: Pair, now: Instant): boolean {
  const age = now - pair.startedAt;
  if (pair.count === 0 || age < WINDOW_MS) {
    return false;
  }
  return pair.count >= ENOUGH_SAMPLES || age >= LATEST_WINDOW_MS;
}

/** Closes the window; the samples kept are read before by `keptSamples`. */
export function closeWindow(
  pair: Pair,
  now: Instant,
  spreadVariance: number,
): WindowSummary {
  const { count, bad } = pair;
  const level = pair.sum / count;
  const seconds = (now - pair.startedAt) / 1_000;
  const ratePerSecond = count / seconds;
  const smoothing = pair.rate === 0 ? 1 : RATE_SMOOTHING;
  pair.rate += smoothing * (ratePerSecond - pair.rate);
  pair.startedAt = now;
  pair.count = 0;
  pair.sum = 0;
  pair.sumSquares = 0;
  pair.bad = 0;
  const sampleVariance = spreadVariance / count;
  return { count, bad, level, sampleVariance, ratePerSecond, seconds };
}

/** Returns the samples kept of the open window. */
export function keptSamples(pair: Pair): Float64Array {
  return pair.kept.subarray(0, Math.min(pair.count, KEPT_SAMPLES));
}

/** Variance of the samples of the open window around their mean; undefined for fewer than two. */
export function windowVariance(pair: Pair): number | undefined {
  const { count } = pair;
  if (count < 2) {
    return undefined;
  }
  const mean = pair.sum / count;
  return Math.max(0, pair.sumSquares / count - mean * mean);
}

/** Moves the local level by a window's residual against the model's expectation. */
export function moveOffset(
  pair: Pair,
  residual: number,
  sampleVariance: number,
  seconds: number,
): void {
  const kept = Math.exp((-seconds * 1_000) / LOCAL_RETURN_MS);
  const prior = Math.min(
    LOCAL_VARIANCE,
    pair.offsetVariance + LOCAL_DRIFT * seconds,
  );
  const offset = pair.offset * kept;
  const gain = prior / (prior + sampleVariance);
  pair.offset = offset + gain * (residual - offset);
  pair.offsetVariance = prior * (1 - gain);
}

/** Queues a closed window until the usage of its time is known; the oldest gives way. */
export function queueWindow(pair: Pair, window: ClosedWindow): void {
  pair.pending.push(window);
  if (pair.pending.length > MAX_PENDING) {
    pair.pending.shift();
  }
}

/** Takes the queued windows that ended by `until`. */
export function takeWindows(pair: Pair, until: Instant): ClosedWindow[] {
  const kept = pair.pending.filter(window => window.endedAt > until);
  const taken = pair.pending.filter(window => window.endedAt <= until);
  pair.pending.splice(0, pair.pending.length, ...kept);
  return taken;
}
