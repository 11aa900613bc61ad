/** Steers requests away from slow backend servers, the cheapest action. */
import type { Instant } from '../core/time.js';
import {
  badShareAt,
  predictedBurn,
  type Forecast,
  type BackendForecast,
  type ServiceForecast,
} from './forecast.js';
import {
  canDecrease,
  canIncrease,
  recordChange,
  steerHistory,
  type PolicyMemory,
  type SteerHistory,
} from './memory.js';
import { baseline } from './service-model.js';
import { STEER_LEVELS, type PolicySettings } from './settings.js';
import type { SteerAction } from './view.js';

/** Time for which a weight is kept before it is lowered further. */
const CUT_DWELL_MS = 10_000;

/** Minimum mean weight over the workers of a service. */
const MIN_MEAN_WEIGHT = 0.75;

/** Ratios of a backend's bad share to the service's mean: slow from the first, normal again up to the second. */
const SLOW_RATIO = 2;
const NORMAL_RATIO = 1.1;

/** Minimum gain of a lower weight, as a share of the error budget. */
const MIN_GAIN = 0.01;

/** Relative increase of load for which the effect on the service is computed. */
const LOAD_STEP = 0.1;

/** Recommends weights for all services and applies their effect to the forecast. */
export function adviseSteering(
  predicted: Forecast,
  memory: PolicyMemory,
  settings: PolicySettings,
  now: Instant,
): SteerAction[] {
  const actions: SteerAction[] = [];
  for (const service of predicted.services.values()) {
    if (predictedBurn(service) > settings.burnThreshold) {
      actions.push(...lowerWeights(service, memory, settings, now));
    }
    actions.push(...raiseWeights(service, memory, settings, now));
  }
  return actions;
}

function steerHistories(
  service: ServiceForecast,
  memory: PolicyMemory,
  now: Instant,
): { backend: BackendForecast; history: SteerHistory }[] {
  const found: { backend: BackendForecast; history: SteerHistory }[] = [];
  for (const backend of service.backends) {
    const history = steerHistory(
      memory,
      service.view.name,
      backend.worker.name,
      now,
    );
    if (history !== undefined) {
      found.push({ backend, history });
    }
  }
  return found;
}

function lowerWeights(
  service: ServiceForecast,
  memory: PolicyMemory,
  settings: PolicySettings,
  now: Instant,
): SteerAction[] {
  const actions: SteerAction[] = [];
  const entries = steerHistories(service, memory, now);
  let totalWeight = entries.reduce(
    (sum, { history }) => sum + history.weight,
    0,
  );
  const minTotalWeight = MIN_MEAN_WEIGHT * entries.length;
  const sensitivity = loadSensitivity(service);
  entries.sort((a, b) => b.backend.badShare - a.backend.badShare);
  for (const { backend, history } of entries) {
    const meanBad = service.badRate / service.totalRate;
    if (
      predictedBurn(service) <= settings.targetBurn ||
      backend.badShare < SLOW_RATIO * meanBad
    ) {
      break;
    }
    const next = STEER_LEVELS.find(level => level < history.weight);
    if (next === undefined || !canCut(history, now)) {
      continue;
    }
    const decrease = history.weight - next;
    const change = weightEffect(backend, next / history.weight, sensitivity);
    const budget = (1 - service.view.target) * service.totalRate;
    if (
      totalWeight - decrease < minTotalWeight ||
      -change.badRate < MIN_GAIN * budget
    ) {
      continue;
    }
    totalWeight -= decrease;
    service.badRate += change.badRate;
    backend.rate = change.rate;
    backend.load *= next / history.weight;
    backend.badShare = badShareAt(backend, change.level);
    backend.level = change.level;
    actions.push(setWeight(backend, history, next, 'objective_at_risk', now));
  }
  return actions;
}

function canCut(history: SteerHistory, now: Instant): boolean {
  return canDecrease(history, now) && now - history.changedAt >= CUT_DWELL_MS;
}

function setWeight(
  backend: BackendForecast,
  history: SteerHistory,
  weight: number,
  reason: 'objective_at_risk' | 'objective_safe',
  now: Instant,
): SteerAction {
  history.weight = weight;
  recordChange(history, now);
  return {
    kind: 'steer',
    service: backend.service.view.name,
    worker: backend.worker.name,
    weight,
    reason,
  };
}

/** Returns the increase of a service's bad request rate per relative increase of its load. */
function loadSensitivity(service: ServiceForecast): number {
  let growth = 0;
  for (const backend of service.backends) {
    const change = curveChange(backend, 1 + LOAD_STEP);
    const bad = badShareAt(backend, backend.level + change);
    growth += backend.rate * (bad * (1 + LOAD_STEP) - backend.badShare);
  }
  return Math.max(0, growth) / LOAD_STEP;
}

function curveChange(backend: BackendForecast, factor: number): number {
  const { model } = backend.service;
  return baseline(model, backend.load * factor) - baseline(model, backend.load);
}

/** Returns the effect of multiplying a backend's weight by `factor`. */
function weightEffect(
  backend: BackendForecast,
  factor: number,
  sensitivity: number,
): { rate: number; level: number; badRate: number } {
  const rate = backend.rate * factor;
  const level = backend.level + curveChange(backend, factor);
  const moved = (backend.rate - rate) / backend.service.totalRate;
  const own =
    rate * badShareAt(backend, level) - backend.rate * backend.badShare;
  return { rate, level, badRate: own + sensitivity * moved };
}

function raiseWeights(
  service: ServiceForecast,
  memory: PolicyMemory,
  settings: PolicySettings,
  now: Instant,
): SteerAction[] {
  const actions: SteerAction[] = [];
  const sensitivity = loadSensitivity(service);
  for (const { backend, history } of steerHistories(service, memory, now)) {
    const next = STEER_LEVELS.findLast(level => level > history.weight);
    if (next === undefined || !canIncrease(history, now)) {
      continue;
    }
    const change = weightEffect(backend, next / history.weight, sensitivity);
    const meanBad = service.badRate / service.totalRate;
    const isNormal =
      badShareAt(backend, change.level) <=
      NORMAL_RATIO * Math.max(meanBad, 1e-6);
    if (
      !isNormal &&
      predictedBurn(service, change.badRate) > settings.targetBurn
    ) {
      continue;
    }
    service.badRate += change.badRate;
    backend.rate = change.rate;
    backend.level = change.level;
    backend.badShare = badShareAt(backend, change.level);
    actions.push(setWeight(backend, history, next, 'objective_safe', now));
  }
  return actions;
}
