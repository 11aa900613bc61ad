/** Predicts error budget burn on each worker and the effect of changes in batch work. */
import type { Instant } from '../core/time.js';
import { slotOf } from './classes.js';
import { levelOf, STALE_LATENCY_MS, type InterferenceModel } from './model.js';
import type { ServiceWorkerPair } from './pair.js';
import { baseline, slowdownOf, type ServiceModel } from './service-model.js';
import { shareAbove } from './spread.js';
import type { InterferenceView, ServiceView, WorkerView } from './view.js';

/** Changes of the log level below this are treated as no effect. */
const NEGLIGIBLE_LOG_CHANGE = 0.005;

/** Standard deviations by which a local level must exceed the model's before batch work is held responsible. */
const CONFIDENCE_DEVIATIONS = 2;

/** Minimum share of batch work to which unexplained slowness is attributed. */
const MIN_BATCH_SHARE = 0.1;

/** Requests per second at which the margin for few samples doubles a service's predicted burn. */
const DOUBLED_MARGIN_RATE = 12;

/** Forecast for the backend server of a service on one worker. */
export interface BackendForecast {
  readonly pair: ServiceWorkerPair;
  readonly service: ServiceForecast;
  readonly worker: WorkerView;
  /** Requests per second. */
  rate: number;
  load: number;
  /** Predicted log level, the mean of ln(response time in ms). */
  level: number;
  /** Predicted share of requests that miss the objective. */
  badShare: number;
  /** Slowdown that the model does not explain, extrapolated to a worker full of batch work. */
  readonly unexplainedSlowdown: number;
}

/** Forecast for a service over all its workers. */
export interface ServiceForecast {
  readonly view: ServiceView;
  readonly model: ServiceModel;
  readonly limit: number;
  readonly backends: BackendForecast[];
  totalRate: number;
  /** Predicted requests per second that miss the objective. */
  badRate: number;
}

/** Forecasts for the services and workers of a view. */
export interface Forecast {
  readonly model: InterferenceModel;
  readonly services: Map<string, ServiceForecast>;
  readonly byWorker: Map<string, BackendForecast[]>;
}

/** Predicts the services of `view` from the learned model and recent samples. */
export function forecast(
  model: InterferenceModel,
  view: InterferenceView,
  now: Instant,
): Forecast {
  const services = new Map<string, ServiceForecast>();
  const byWorker = new Map<string, BackendForecast[]>();
  for (const service of view.services) {
    const state = model.services.get(service.name);
    if (state?.ready === true) {
      services.set(service.name, {
        view: service,
        model: state,
        limit: Math.log(service.latencyMs),
        backends: [],
        totalRate: 0,
        badRate: 0,
      });
    }
  }
  for (const worker of view.workers) {
    const backends: BackendForecast[] = [];
    for (const name of worker.services) {
      const service = services.get(name);
      const pair = model.pairs.get(name)?.get(worker.name);
      if (service === undefined || pair === undefined || pair.rate === 0) {
        continue;
      }
      if (now - pair.seenAt <= STALE_LATENCY_MS) {
        backends.push(addBackend(model, service, pair, worker));
      }
    }
    byWorker.set(worker.name, backends);
  }
  return { model, services, byWorker };
}

function addBackend(
  model: InterferenceModel,
  service: ServiceForecast,
  pair: ServiceWorkerPair,
  worker: WorkerView,
): BackendForecast {
  const { load, level } = levelOf(model, service.model, pair);
  const backend: BackendForecast = {
    pair,
    service,
    worker,
    rate: pair.rate * service.model.trend.rateFactor,
    load,
    level,
    badShare: 0,
    unexplainedSlowdown: estimateUnexplained(pair, worker),
  };
  backend.badShare = badShareAt(backend, backend.level);
  service.backends.push(backend);
  service.totalRate += backend.rate;
  service.badRate += backend.rate * backend.badShare;
  return backend;
}

/** Returns the statistically certain rise of the local level over the model, per share of batch work in use. */
function estimateUnexplained(
  pair: ServiceWorkerPair,
  worker: WorkerView,
): number {
  const certainRise =
    pair.offset - CONFIDENCE_DEVIATIONS * Math.sqrt(pair.offsetVariance);
  const used = worker.tasks.reduce((sum, t) => sum + t.cores * t.share, 0);
  if (certainRise <= 0 || used <= 0) {
    return 0;
  }
  return certainRise / Math.max(MIN_BATCH_SHARE, used / worker.cores);
}

/** Returns the share of a backend's requests that miss the objective at the given log level. */
export function badShareAt(backend: BackendForecast, level: number): number {
  const { model, limit } = backend.service;
  const share = shareAbove(model.spread, limit - level) * model.calibration;
  return Math.min(1, share);
}

/** Returns a service's predicted burn, where 1 uses up its error budget, with a margin for few samples. */
export function predictedBurn(
  service: ServiceForecast,
  extraBadRate = 0,
): number {
  if (service.totalRate === 0) {
    return 0;
  }
  const bad = (service.badRate + extraBadRate) / service.totalRate;
  const margin = 1 + DOUBLED_MARGIN_RATE / service.totalRate;
  return (margin * bad) / (1 - service.view.target);
}

/**
 * Returns the change of a backend's log level when a batch class changes its use by `change` (share
 * of the worker). Adds `deviations` standard deviations to the learned slowdown and, in proportion
 * to the change in use, the slowdown of the worker that the model does not explain.
 */
export function levelChange(
  predicted: Forecast,
  backend: BackendForecast,
  batchClass: string,
  change: number,
  deviations: number,
): number {
  const slot = slotOf(predicted.model.classes, batchClass);
  const { model } = backend.service;
  const share = Math.abs(change);
  const effect = slowdownOf(model, slot, backend.load, share);
  const unexplained = share * backend.unexplainedSlowdown;
  const size = effect.mean + deviations * effect.deviation + unexplained;
  if (change > 0) {
    return size;
  }
  const excess = Math.max(0, backend.level - baseline(model, backend.load));
  return -Math.min(size, excess);
}

/** Returns the change of a backend's rate of bad requests when its log level changes by `change`. */
export function badRateChange(
  backend: BackendForecast,
  change: number,
): number {
  if (Math.abs(change) < NEGLIGIBLE_LOG_CHANGE) {
    return 0;
  }
  return (
    backend.rate *
    (badShareAt(backend, backend.level + change) - backend.badShare)
  );
}

/** Applies a change of log level to a backend and its service. */
export function applyLevel(backend: BackendForecast, change: number): void {
  backend.service.badRate += badRateChange(backend, change);
  backend.level += change;
  backend.badShare = badShareAt(backend, backend.level);
}
