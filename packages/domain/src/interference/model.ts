/**
 * Learning of interference: response times come at once, usage comes late.
 * Windows of response times wait for the usage report of their own time; see docs/design/interference.md.
 */
import type { Instant } from '../core/time.js';
import {
  CLASS_SLOTS,
  createClassTable,
  slotOf,
  touchSlot,
  type ClassTable,
} from './classes.js';
import {
  addSample,
  closeWindow,
  createPair,
  keptSamples,
  moveOffset,
  queueWindow,
  takeWindows,
  windowEnds,
  windowVariance,
  type Pair,
} from './pair.js';
import {
  addToTrend,
  baseline,
  createServiceModel,
  fade,
  forgetClass,
  learnWindow,
  moveTrend,
  slowdownOf,
  startLevel,
  takeRate,
  totalSlowdown,
  type ClassShares,
  type ServiceModel,
  type Slowdown,
} from './service-model.js';
import { addRatio, rebuild, shareAbove } from './spread.js';

/** Bounds of the state. */
const MAX_SERVICES = 64;
const MAX_PAIRS = 4_096;
const MAX_WORKERS = 1_024;

/** Pairs and workers not heard of for this long are forgotten, in milliseconds. */
const FORGET_MS = 15 * 60_000;

/** Response times are taken for unknown when the last is older than this, in milliseconds. */
export const STALE_MS = 60_000;

/** Response times outside are taken for the nearest bound, in milliseconds. */
const LEAST_LATENCY_MS = 0.05;
const GREATEST_LATENCY_MS = 60_000;

/** Variance of log response times within a window, until it is known. */
const INITIAL_SPREAD_VARIANCE = 0.25;

/** Windows with fewer samples tell nothing of the spread. */
const LEAST_SPREAD_SAMPLES = 4;

const CALIBRATION_SMOOTHING = 0.002;
const LEAST_CALIBRATION = 0.5;
const GREATEST_CALIBRATION = 3;

/** Windows with less batch work than this share of a worker show the common shift. */
const QUIET_SHARE = 0.05;
const LEAST_QUIET = 3;
const SHIFT_TIME_MS = 20_000;
const SHIFT_RETURN_MS = 300_000;

/** One response time as a router saw it. */
export interface LatencySample {
  readonly service: string;
  readonly worker: string;
  readonly latencyMs: number;
  readonly at: Instant;
}

/** Use of a worker's processors by batch classes, as shares of the worker, true at `asOf`. */
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

/** State of the learning; bounded, and changed only by the functions of this module. */
export interface InterferenceModel {
  readonly classes: ClassTable;
  readonly services: Map<string, ServiceModel>;
  readonly objectives: Map<string, number>;
  readonly pairs: Map<string, Map<string, Pair>>;
  readonly workers: Map<string, WorkerState>;
  pairCount: number;
}

/** Builds a model that knows nothing. */
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

/** Sets the response time (ms) that requests of a service must keep. */
export function setObjective(
  model: InterferenceModel,
  service: string,
  latencyMs: number,
): void {
  if (model.objectives.size < MAX_SERVICES || model.objectives.has(service)) {
    model.objectives.set(service, Math.log(latencyMs));
  }
}

/** Takes one response time. */
export function observeLatency(
  model: InterferenceModel,
  sample: LatencySample,
): void {
  if (!Number.isFinite(sample.latencyMs) || sample.latencyMs < 0) {
    return;
  }
  const pair = pairFor(model, sample);
  if (pair === undefined) {
    return;
  }
  const latency = Math.min(
    GREATEST_LATENCY_MS,
    Math.max(LEAST_LATENCY_MS, sample.latencyMs),
  );
  const log = Math.log(latency);
  const limit = model.objectives.get(sample.service);
  addSample(pair, log, limit !== undefined && log > limit, sample.at);
  const trend = model.services.get(sample.service)?.trend;
  if (pair.expected !== undefined && trend !== undefined) {
    addToTrend(trend, log - pair.expected);
  }
}

function pairFor(
  model: InterferenceModel,
  sample: LatencySample,
): Pair | undefined {
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

/** Sets what batch classes use on a worker now, by what is known without waiting for reports. */
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

/** Takes a late usage report and learns from the windows of its time. */
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
    for (const window of takeWindows(pair, usage.asOf)) {
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
    const slot = touchSlot(model.classes, batchClass, now, assigned => {
      for (const service of model.services.values()) {
        forgetClass(service, assigned);
      }
    });
    shares[slot] = (shares[slot] ?? 0) + Math.min(1, Math.max(0, share));
  }
  return shares;
}

/** Closes windows that are due and forgets what is gone; call every second or so. */
export function advance(model: InterferenceModel, now: Instant): void {
  for (const [name, pairs] of model.pairs) {
    const service = model.services.get(name);
    if (service === undefined) {
      continue;
    }
    const elapsedMs = Math.max(0, now - service.diffusedAt);
    fade(service, now);
    moveTrend(service.trend, rateOf(pairs, now), elapsedMs);
    for (const pair of pairs.values()) {
      if (windowEnds(pair, now)) {
        endWindow(model, service, pair, now);
      }
    }
    rebuild(service.spread);
    moveShift(model, service, pairs, elapsedMs);
    expectLevels(model, service, pairs);
    forgetPairs(model, name, pairs, now);
  }
  for (const [worker, state] of model.workers) {
    if (now - state.seenAt > FORGET_MS) {
      model.workers.delete(worker);
    }
  }
}

/** Requests a second of all pairs whose level is forecast. */
function rateOf(pairs: Map<string, Pair>, now: Instant): number {
  let rate = 0;
  for (const pair of pairs.values()) {
    if (pair.expected !== undefined && now - pair.seenAt <= STALE_MS) {
      rate += pair.rate;
    }
  }
  return rate;
}

function expectLevels(
  model: InterferenceModel,
  service: ServiceModel,
  pairs: Map<string, Pair>,
): void {
  for (const pair of pairs.values()) {
    if (pair.rate > 0) {
      pair.expected = levelOf(model, service, pair).level - service.trend.lift;
    }
  }
}

/** Returns the load and log level of a pair now, by model, local level and trend. */
export function levelOf(
  model: InterferenceModel,
  service: ServiceModel,
  pair: Pair,
): { readonly load: number; readonly level: number } {
  const load = pair.load * service.trend.surge;
  const shares = model.workers.get(pair.worker)?.shares ?? NO_SHARES;
  const level =
    baseline(service, load) +
    totalSlowdown(service, load, shares) +
    pair.offset +
    service.trend.lift;
  return { load, level };
}

const NO_SHARES: ClassShares = new Float64Array(CLASS_SLOTS);

function endWindow(
  model: InterferenceModel,
  service: ServiceModel,
  pair: Pair,
  now: Instant,
): void {
  const variance = windowVariance(pair) ?? INITIAL_SPREAD_VARIANCE;
  const samples = keptSamples(pair).slice();
  const window = closeWindow(
    pair,
    now,
    Math.max(variance, INITIAL_SPREAD_VARIANCE / 4),
  );
  startLevel(service, window.level);
  if (samples.length >= LEAST_SPREAD_SAMPLES) {
    samples.forEach(log => {
      addRatio(service.spread, log - window.level);
    });
  }
  pair.load = takeRate(service, window.ratePerSecond);
  const shares = model.workers.get(pair.worker)?.shares ?? NO_SHARES;
  const modelled =
    baseline(service, pair.load) + totalSlowdown(service, pair.load, shares);
  calibrate(model, service, pair, modelled + pair.offset, window);
  moveOffset(
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
  pair: Pair,
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
    GREATEST_CALIBRATION,
    Math.max(LEAST_CALIBRATION, service.calibration + change),
  );
}

function moveShift(
  model: InterferenceModel,
  service: ServiceModel,
  pairs: Map<string, Pair>,
  elapsedMs: number,
): void {
  const quiet: number[] = [];
  for (const pair of pairs.values()) {
    const shares = model.workers.get(pair.worker)?.shares ?? NO_SHARES;
    const busy = shares.reduce((sum, share) => sum + share, 0);
    if (busy < QUIET_SHARE && pair.rate > 0) {
      quiet.push(pair.offset);
    }
  }
  let step = service.shift * (Math.exp(-elapsedMs / SHIFT_RETURN_MS) - 1);
  if (quiet.length >= LEAST_QUIET) {
    quiet.sort((a, b) => a - b);
    const median = quiet[Math.floor(quiet.length / 2)] ?? 0;
    step += median * (1 - Math.exp(-elapsedMs / SHIFT_TIME_MS));
  }
  service.shift += step;
  for (const pair of pairs.values()) {
    pair.offset -= step;
  }
}

function forgetPairs(
  model: InterferenceModel,
  service: string,
  pairs: Map<string, Pair>,
  now: Instant,
): void {
  for (const [worker, pair] of pairs) {
    if (now - pair.seenAt > FORGET_MS) {
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

/** Returns the learnt slowdown of a service by a batch class that uses `share` of a worker at `load`. */
export function learntSlowdown(
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
