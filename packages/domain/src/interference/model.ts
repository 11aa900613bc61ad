/**
 * Learns how batch work slows down services. Response times arrive at once but usage reports arrive
 * late, so windows of response times are queued until the usage of their time is reported;
 * see docs/design/interference.md.
 */
import type { Instant } from '../core/time.js';
import {
  CLASS_SLOTS,
  createClassTable,
  slotOf,
  assignSlot,
  type ClassTable,
} from './classes.js';
import {
  addSample,
  closeWindow,
  createPair,
  windowSamples,
  updateOffset,
  queueWindow,
  dequeueWindows,
  isWindowDue,
  windowVariance,
  type ServiceWorkerPair,
} from './pair.js';
import {
  addToTrend,
  baseline,
  createServiceModel,
  diffuseForElapsed,
  resetClass,
  learnWindow,
  updateTrend,
  slowdownOf,
  initializeLevel,
  updateMeanRate,
  totalSlowdown,
  type ClassShares,
  type ServiceModel,
  type Slowdown,
} from './service-model.js';
import { addRatio, rebuildSurvival, shareAbove } from './spread.js';

/** Maximum numbers of entries. */
const MAX_SERVICES = 64;
const MAX_PAIRS = 4_096;
const MAX_WORKERS = 1_024;

/** Time after which pairs and workers without new data are deleted. */
const STATE_RETENTION_MS = 15 * 60_000;

/** Age of the last sample beyond which the response times of a pair count as unknown. */
export const STALE_LATENCY_MS = 60_000;

/** Range to which response times are clamped. */
const MIN_LATENCY_MS = 0.05;
const MAX_LATENCY_MS = 60_000;

/** Variance of log response times, used until it can be computed; a quarter of it is the minimum. */
const INITIAL_SPREAD_VARIANCE = 0.25;

/** Minimum samples of a window for it to count towards the spread. */
const MIN_SPREAD_SAMPLES = 4;

const CALIBRATION_SMOOTHING = 0.002;
const MIN_CALIBRATION = 0.5;
const MAX_CALIBRATION = 3;

/** Workers with less batch work than this share are used to estimate the shift common to all workers. */
const MAX_QUIET_SHARE = 0.05;
const MIN_QUIET_WORKERS = 3;
const SHIFT_TIME_CONSTANT_MS = 20_000;
const SHIFT_DECAY_MS = 300_000;

/** A response time measured by a router. */
export interface LatencySample {
  readonly service: string;
  readonly worker: string;
  readonly latencyMs: number;
  readonly at: Instant;
}

/** Use of a worker's processors by batch classes as of the given time. */
export interface UsageSample {
  readonly worker: string;
  readonly asOf: Instant;
  readonly uses: readonly ClassUse[];
}

/** Share of a worker's processors that one batch class uses, 0 to 1. */
export interface ClassUse {
  readonly batchClass: string;
  readonly share: number;
}

interface WorkerState {
  shares: ClassShares;
  seenAt: Instant;
}

/** State of the learned model; bounded in size and changed only by this module's functions. */
export interface InterferenceModel {
  readonly classes: ClassTable;
  readonly services: Map<string, ServiceModel>;
  readonly objectives: Map<string, number>;
  readonly pairs: Map<string, Map<string, ServiceWorkerPair>>;
  readonly workers: Map<string, WorkerState>;
  pairCount: number;
}

/** Creates an empty model. */
export function createInterferenceModel(): InterferenceModel {
  return {
    classes: createClassTable(),
    services: new Map(),
    objectives: new Map(),
    pairs: new Map(),
    workers: new Map(),
    pairCount: 0,
  };
}

/** Sets the response time objective of a service in milliseconds. */
export function setObjective(
  model: InterferenceModel,
  service: string,
  latencyMs: number,
): void {
  if (model.objectives.size < MAX_SERVICES || model.objectives.has(service)) {
    model.objectives.set(service, Math.log(latencyMs));
  }
}

/** Records one response time; ignores invalid values. */
export function observeLatency(
  model: InterferenceModel,
  sample: LatencySample,
): void {
  if (!Number.isFinite(sample.latencyMs) || sample.latencyMs < 0) {
    return;
  }
  const pair = getOrCreatePair(model, sample);
  if (pair === undefined) {
    return;
  }
  const latency = Math.min(
    MAX_LATENCY_MS,
    Math.max(MIN_LATENCY_MS, sample.latencyMs),
  );
  const log = Math.log(latency);
  const limit = model.objectives.get(sample.service);
  addSample(pair, log, limit !== undefined && log > limit, sample.at);
  const trend = model.services.get(sample.service)?.trend;
  if (pair.expectedLevel !== undefined && trend !== undefined) {
    addToTrend(trend, log - pair.expectedLevel);
  }
}

function getOrCreatePair(
  model: InterferenceModel,
  sample: LatencySample,
): ServiceWorkerPair | undefined {
  const { service, worker, at } = sample;
  const known = model.pairs.get(service)?.get(worker);
  if (known !== undefined) {
    return known;
  }
  if (model.pairCount >= MAX_PAIRS) {
    return undefined;
  }
  if (!model.services.has(service)) {
    if (model.services.size >= MAX_SERVICES) {
      return undefined;
    }
    model.services.set(service, createServiceModel(at));
    model.pairs.set(service, new Map());
  }
  const pair = createPair(service, worker, at);
  model.pairs.get(service)?.set(worker, pair);
  model.pairCount += 1;
  return pair;
}

/** Sets the current use of a worker by batch classes, from its placements rather than usage reports. */
export function observePlacement(
  model: InterferenceModel,
  worker: string,
  uses: readonly ClassUse[],
  now: Instant,
): void {
  const known = model.workers.get(worker);
  if (known === undefined && model.workers.size >= MAX_WORKERS) {
    return;
  }
  model.workers.set(worker, {
    shares: sharesOf(model, uses, now),
    seenAt: now,
  });
}

/** Learns from the queued windows that ended by the time of a usage report. */
export function observeUsage(
  model: InterferenceModel,
  usage: UsageSample,
  now: Instant,
): void {
  const shares = sharesOf(model, usage.uses, now);
  for (const [service, pairs] of model.pairs) {
    const pair = pairs.get(usage.worker);
    const serviceModel = model.services.get(service);
    if (pair === undefined || serviceModel === undefined) {
      continue;
    }
    for (const window of dequeueWindows(pair, usage.asOf)) {
      learnWindow(
        serviceModel,
        window.load,
        shares,
        window.level - window.shift,
        window.sampleVariance,
      );
    }
  }
}

function sharesOf(
  model: InterferenceModel,
  uses: readonly ClassUse[],
  now: Instant,
): ClassShares {
  const shares = new Float64Array(CLASS_SLOTS);
  for (const { batchClass, share } of uses) {
    const slot = assignSlot(model.classes, batchClass, now, assigned => {
      for (const service of model.services.values()) {
        resetClass(service, assigned);
      }
    });
    shares[slot] = (shares[slot] ?? 0) + Math.min(1, Math.max(0, share));
  }
  return shares;
}

/** Closes due windows, updates the trends and deletes stale state; called about once a second. */
export function advance(model: InterferenceModel, now: Instant): void {
  for (const [name, pairs] of model.pairs) {
    const service = model.services.get(name);
    if (service === undefined) {
      continue;
    }
    const elapsedMs = Math.max(0, now - service.diffusedAt);
    diffuseForElapsed(service, now);
    updateTrend(service.trend, totalRate(pairs, now), elapsedMs);
    for (const pair of pairs.values()) {
      if (isWindowDue(pair, now)) {
        endWindow(model, service, pair, now);
      }
    }
    rebuildSurvival(service.spread);
    updateShift(model, service, pairs, elapsedMs);
    updateExpectedLevels(model, service, pairs);
    dropStalePairs(model, name, pairs, now);
  }
  for (const [worker, state] of model.workers) {
    if (now - state.seenAt > STATE_RETENTION_MS) {
      model.workers.delete(worker);
    }
  }
}

/** Returns the requests per second of all recently seen pairs with an expected level. */
function totalRate(
  pairs: Map<string, ServiceWorkerPair>,
  now: Instant,
): number {
  let rate = 0;
  for (const pair of pairs.values()) {
    if (
      pair.expectedLevel !== undefined &&
      now - pair.seenAt <= STALE_LATENCY_MS
    ) {
      rate += pair.rate;
    }
  }
  return rate;
}

function updateExpectedLevels(
  model: InterferenceModel,
  service: ServiceModel,
  pairs: Map<string, ServiceWorkerPair>,
): void {
  for (const pair of pairs.values()) {
    if (pair.rate > 0) {
      pair.expectedLevel =
        levelOf(model, service, pair).level - service.trend.levelRise;
    }
  }
}

/** Returns the current load and log level of a pair, from the model, its local offset and the trend. */
export function levelOf(
  model: InterferenceModel,
  service: ServiceModel,
  pair: ServiceWorkerPair,
): { readonly load: number; readonly level: number } {
  const load = pair.load * service.trend.rateFactor;
  const shares = model.workers.get(pair.worker)?.shares ?? NO_SHARES;
  const level =
    baseline(service, load) +
    totalSlowdown(service, load, shares) +
    pair.offset +
    service.trend.levelRise;
  return { load, level };
}

const NO_SHARES: ClassShares = new Float64Array(CLASS_SLOTS);

function endWindow(
  model: InterferenceModel,
  service: ServiceModel,
  pair: ServiceWorkerPair,
  now: Instant,
): void {
  const variance = windowVariance(pair) ?? INITIAL_SPREAD_VARIANCE;
  const samples = windowSamples(pair).slice();
  const window = closeWindow(
    pair,
    now,
    Math.max(variance, INITIAL_SPREAD_VARIANCE / 4),
  );
  initializeLevel(service, window.level);
  if (samples.length >= MIN_SPREAD_SAMPLES) {
    samples.forEach(log => {
      addRatio(service.spread, log - window.level);
    });
  }
  pair.load = updateMeanRate(service, window.ratePerSecond);
  const shares = model.workers.get(pair.worker)?.shares ?? NO_SHARES;
  const modelled =
    baseline(service, pair.load) + totalSlowdown(service, pair.load, shares);
  calibrate(model, service, pair, modelled + pair.offset, window);
  updateOffset(
    pair,
    window.level - modelled,
    window.sampleVariance,
    window.seconds,
  );
  queueWindow(pair, {
    endedAt: now,
    level: window.level,
    sampleVariance: window.sampleVariance,
    load: pair.load,
    shift: service.shift,
  });
}

function calibrate(
  model: InterferenceModel,
  service: ServiceModel,
  pair: ServiceWorkerPair,
  level: number,
  window: { readonly count: number; readonly bad: number },
): void {
  const limit = model.objectives.get(pair.service);
  if (limit === undefined) {
    return;
  }
  const predicted = shareAbove(service.spread, limit - level) * window.count;
  const error = window.bad - predicted * service.calibration;
  const change = (CALIBRATION_SMOOTHING * error) / Math.max(1, predicted);
  service.calibration = Math.min(
    MAX_CALIBRATION,
    Math.max(MIN_CALIBRATION, service.calibration + change),
  );
}

function updateShift(
  model: InterferenceModel,
  service: ServiceModel,
  pairs: Map<string, ServiceWorkerPair>,
  elapsedMs: number,
): void {
  const quietOffsets: number[] = [];
  for (const pair of pairs.values()) {
    const shares = model.workers.get(pair.worker)?.shares ?? NO_SHARES;
    const batchShare = shares.reduce((sum, share) => sum + share, 0);
    if (batchShare < MAX_QUIET_SHARE && pair.rate > 0) {
      quietOffsets.push(pair.offset);
    }
  }
  let step = service.shift * (Math.exp(-elapsedMs / SHIFT_DECAY_MS) - 1);
  if (quietOffsets.length >= MIN_QUIET_WORKERS) {
    quietOffsets.sort((a, b) => a - b);
    const median = quietOffsets[Math.floor(quietOffsets.length / 2)] ?? 0;
    step += median * (1 - Math.exp(-elapsedMs / SHIFT_TIME_CONSTANT_MS));
  }
  service.shift += step;
  for (const pair of pairs.values()) {
    pair.offset -= step;
  }
}

function dropStalePairs(
  model: InterferenceModel,
  service: string,
  pairs: Map<string, ServiceWorkerPair>,
  now: Instant,
): void {
  for (const [worker, pair] of pairs) {
    if (now - pair.seenAt > STATE_RETENTION_MS) {
      pairs.delete(worker);
      model.pairCount -= 1;
    }
  }
  if (pairs.size === 0) {
    model.pairs.delete(service);
    model.services.delete(service);
    model.objectives.delete(service);
  }
}

/** Returns the learned slowdown of a service at `load` by a batch class that uses `share` of a worker. */
export function learnedSlowdown(
  model: InterferenceModel,
  service: string,
  batchClass: string,
  share: number,
  load = 1,
): Slowdown | undefined {
  const state = model.services.get(service);
  if (state === undefined) {
    return undefined;
  }
  return slowdownOf(state, slotOf(model.classes, batchClass), load, share);
}
