/** Penalties for placing batch work on workers that run services. */
import type { Instant } from '../core/time.js';
import {
  badRateChange,
  forecast,
  levelChange,
  type Forecast,
  type BackendForecast,
} from './forecast.js';
import type { InterferenceModel } from './model.js';
import { settingsFor, type InterferenceWeights } from './settings.js';
import type { InterferenceView } from './view.js';

/** Maximum penalty. */
export const MAX_PENALTY = 100;

/** Weight of burn within the error budget, relative to burn beyond it. */
const WITHIN_BUDGET_WEIGHT = 0.2;

/**
 * Returns the penalty for `cores` of a batch class on a worker: the share of error budgets that they
 * would use up, 0 for none, 1 for the whole budget of one service; at most `MAX_PENALTY`.
 */
export type PlacementPenalty = (
  worker: string,
  batchClass: string,
  cores: number,
) => number;

/** Returns a penalty function for the workers of `view`; it does not follow later changes of the view. */
export function placementPenalty(
  model: InterferenceModel,
  view: InterferenceView,
  weights: InterferenceWeights,
  now: Instant,
): PlacementPenalty {
  const predicted = forecast(model, view, now);
  const { safetyDeviations: safetyDeviations } = settingsFor(weights);
  return (worker, batchClass, cores) => {
    let sum = 0;
    for (const backend of predicted.byWorker.get(worker) ?? []) {
      sum += backendPenalty(
        predicted,
        backend,
        batchClass,
        cores,
        safetyDeviations,
      );
    }
    return Math.min(MAX_PENALTY, sum);
  };
}

function backendPenalty(
  predicted: Forecast,
  backend: BackendForecast,
  batchClass: string,
  cores: number,
  caution: number,
): number {
  const share = Math.min(1, cores / backend.worker.cores);
  const change = levelChange(predicted, backend, batchClass, share, caution);
  const bad = badRateChange(backend, change);
  const { service } = backend;
  if (service.totalRate === 0) {
    return 0;
  }
  const budget = (1 - service.view.target) * service.totalRate;
  const spent = service.badRate / budget;
  const after = (service.badRate + bad) / budget;
  const beyond = Math.max(0, after - 1) - Math.max(0, spent - 1);
  return (
    WITHIN_BUDGET_WEIGHT * (after - spent) + (1 - WITHIN_BUDGET_WEIGHT) * beyond
  );
}
