/** Response times of one service on one worker: sample windows and the local offset from the model. */
import type { Instant } from '../core/time.js';

/** Number of the last samples of a window that are kept individually for the spread. */
const MAX_KEPT_SAMPLES = 64;

/** A window closes at the minimum age if it has enough samples, otherwise at the maximum age. */
const MIN_WINDOW_MS = 5_000;
const MAX_WINDOW_MS = 20_000;
const MIN_WINDOW_SAMPLES = 8;

/** Maximum number of closed windows queued for the usage report of their time. */
const MAX_PENDING = 24;

/** Maximum variance of the local offset, and its growth per second. */
const MAX_OFFSET_VARIANCE = 0.3;
const OFFSET_VARIANCE_PER_SECOND = 0.002;

/** Time constant with which the local offset decays to zero. */
const OFFSET_DECAY_MS = 120_000;

const RATE_SMOOTHING = 0.4;

/** A closed window, queued until the usage of its time is reported. */
export interface ClosedWindow {
  readonly endedAt: Instant;
  /** Mean of ln(response time in ms). */
  readonly level: number;
  readonly sampleVariance: number;
  readonly load: number;
  readonly shift: number;
}

/** State of one service on one worker. */
export interface ServiceWorkerPair {
  readonly service: string;
  readonly worker: string;
  startedAt: Instant;
  count: number;
  sum: number;
  sumSquares: number;
  bad: number;
  readonly keptSamples: Float64Array;
  /** Smoothed requests per second. */
  rate: number;
  /** Load relative to the service's mean. */
  load: number;
  /** Local offset: difference between the log level and the model's prediction, with its variance. */
  offset: number;
  offsetVariance: number;
  /** Log level last predicted without the trend, against which the trend is computed; undefined before. */
  expectedLevel: number | undefined;
  seenAt: Instant;
  readonly pending: ClosedWindow[];
}

/** Summary of a window of samples at its close. */
export interface WindowSummary {
  readonly count: number;
  readonly bad: number;
  readonly level: number;
  readonly sampleVariance: number;
  readonly ratePerSecond: number;
  readonly seconds: number;
}

/** Creates the state of a pair without samples. */
export function createPair(
  service: string,
  worker: string,
  now: Instant,
): ServiceWorkerPair {
  return {
    service,
    worker,
    startedAt: now,
    count: 0,
    sum: 0,
    sumSquares: 0,
    bad: 0,
    keptSamples: new Float64Array(MAX_KEPT_SAMPLES),
    rate: 0,
    load: 1,
    offset: 0,
    offsetVariance: MAX_OFFSET_VARIANCE,
    expectedLevel: undefined,
    seenAt: now,
    pending: [],
  };
}

/** Adds the logarithm of one response time. */
export function addSample(
  pair: ServiceWorkerPair,
  log: number,
  bad: boolean,
  at: Instant,
): void {
  if (pair.count === 0 && at - pair.startedAt > MAX_WINDOW_MS) {
    pair.startedAt = at;
  }
  pair.keptSamples[pair.count % MAX_KEPT_SAMPLES] = log;
  pair.count += 1;
  pair.sum += log;
  pair.sumSquares += log * log;
  pair.bad += bad ? 1 : 0;
  pair.seenAt = Math.max(pair.seenAt, at);
}

/** Returns whether the open window of the pair has to be closed now. */
export function isWindowDue(pair: ServiceWorkerPair, now: Instant): boolean {
  const age = now - pair.startedAt;
  if (pair.count === 0 || age < MIN_WINDOW_MS) {
    return false;
  }
  return pair.count >= MIN_WINDOW_SAMPLES || age >= MAX_WINDOW_MS;
}

/** Closes the open window; its samples have to be read with `windowSamples` first. */
export function closeWindow(
  pair: ServiceWorkerPair,
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

/** Returns the samples of the open window that were kept individually. */
export function windowSamples(pair: ServiceWorkerPair): Float64Array {
  return pair.keptSamples.subarray(0, Math.min(pair.count, MAX_KEPT_SAMPLES));
}

/** Returns the variance of the open window's samples; undefined for fewer than two. */
export function windowVariance(pair: ServiceWorkerPair): number | undefined {
  const { count } = pair;
  if (count < 2) {
    return undefined;
  }
  const mean = pair.sum / count;
  return Math.max(0, pair.sumSquares / count - mean * mean);
}

/** Updates the local offset with a window's residual against the model. */
export function updateOffset(
  pair: ServiceWorkerPair,
  residual: number,
  sampleVariance: number,
  seconds: number,
): void {
  const kept = Math.exp((-seconds * 1_000) / OFFSET_DECAY_MS);
  const prior = Math.min(
    MAX_OFFSET_VARIANCE,
    pair.offsetVariance + OFFSET_VARIANCE_PER_SECOND * seconds,
  );
  const offset = pair.offset * kept;
  const gain = prior / (prior + sampleVariance);
  pair.offset = offset + gain * (residual - offset);
  pair.offsetVariance = prior * (1 - gain);
}

/** Queues a closed window until the usage of its time is reported; drops the oldest if the queue is full. */
export function queueWindow(
  pair: ServiceWorkerPair,
  window: ClosedWindow,
): void {
  pair.pending.push(window);
  if (pair.pending.length > MAX_PENDING) {
    pair.pending.shift();
  }
}

/** Removes and returns the queued windows that ended by `until`. */
export function dequeueWindows(
  pair: ServiceWorkerPair,
  until: Instant,
): ClosedWindow[] {
  const kept = pair.pending.filter(window => window.endedAt > until);
  const taken = pair.pending.filter(window => window.endedAt <= until);
  pair.pending.splice(0, pair.pending.length, ...kept);
  return taken;
}
