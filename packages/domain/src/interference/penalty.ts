/** The price of placing batch work beside services. */
import type { Instant } from '../core/time.js';
import {
  badRateChange,
  forecast,
  levelChange,
  type Forecast,
  type Node,
} from './forecast.js';
import type { InterferenceModel } from './model.js';
import { settingsFor, type InterferenceWeights } from './settings.js';
import type { InterferenceView } from './view.js';

/** Greatest penalty. */
export const MAX_PENALTY = 100;

/** Weight of spending that stays within the budget against spending beyond it. */
const WITHIN_BUDGET = 0.2;

/**
 * Returns the penalty of `cores` of a batch class on a worker: the share of error budgets that it
 * would spend, 0 for none, 1 for the whole budget of one service; at most `MAX_PENALTY`.
 */
export type PlacementPenalty = (
  worker: string,
  batchClass: string,
  cores: number,
) => number;

/** Prepares penalties for the workers of `view`; good until the next change of the view. */
export function placementPenalty(
  model: InterferenceModel,
  view: InterferenceView,
  weights: InterferenceWeights,
  now: Instant,
): PlacementPenalty {
  const predicted = forecast(model, view, now);
  const { caution } = settingsFor(weights);
  return (worker, batchClass, cores) => {
    let sum = 0;
    for (const node of predicted.byWorker.get(worker) ?? []) {
      sum += nodePenalty(predicted, node, batchClass, cores, caution);
    }
    return Math.min(MAX_PENALTY, sum);
  };
}

function nodePenalty(
  predicted: Forecast,
  node: Node,
  batchClass: string,
  cores: number,
  caution: number,
): number {
  const share = Math.min(1, cores / node.worker.cores);
  const change = levelChange(predicted, node, batchClass, share, caution);
  const bad = badRateChange(node, change);
  const { service } = node;
  if (service.totalRate === 0) {
    return 0;
  }
  const budget = (1 - service.view.target) * service.totalRate;
  const spent = service.badRate / budget;
  const after = (service.badRate + bad) / budget;
  const beyond = Math.max(0, after - 1) - Math.max(0, spent - 1);
  return WITHIN_BUDGET * (after - spent) + (1 - WITHIN_BUDGET) * beyond;
}
