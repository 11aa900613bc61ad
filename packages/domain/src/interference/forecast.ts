/** Predicted spending of error budgets by worker, and how a change would move it. */
import type { Instant } from '../core/time.js';
import { slotOf } from './classes.js';
import { levelOf, STALE_MS, type InterferenceModel } from './model.js';
import type { Pair } from './pair.js';
import { baseline, slowdownOf, type ServiceModel } from './service-model.js';
import { shareAbove } from './spread.js';
import type { InterferenceView, ServiceView, WorkerView } from './view.js';

/** Log change below which an effect is taken for none. */
const NEGLIGIBLE = 0.005;

/** Deviations by which a local level must exceed the model's to be blamed on batch work. */
const SURE_DEVIATIONS = 2;

/** Least share of a worker's batch work over which slowness is spread. */
const LEAST_USED = 0.1;

/** Requests a second of a service at which its predicted spending is doubled, for want of samples. */
const DOUBTED_RATE = 12;

/** A service on a worker as predicted. */
export interface Node {
  readonly pair: Pair;
  readonly service: ServiceForecast;
  readonly worker: WorkerView;
  /** Requests a second. */
  rate: number;
  load: number;
  /** Predicted log level. */
  level: number;
  /** Share of requests predicted to miss the objective. */
  badShare: number;
  /** Slowness that nothing learnt explains, as a slowdown by a whole worker of batch work. */
  readonly unexplained: number;
}

/** A service as predicted over its workers. */
export interface ServiceForecast {
  readonly view: ServiceView;
  readonly model: ServiceModel;
  readonly limit: number;
  readonly nodes: Node[];
  totalRate: number;
  /** Requests a second predicted to miss the objective. */
  badRate: number;
}

/** Predictions for a view. */
export interface Forecast {
  readonly model: InterferenceModel;
  readonly services: Map<string, ServiceForecast>;
  readonly byWorker: Map<string, Node[]>;
}

/** Predicts the services of `view` from what is learnt and seen. */
export function forecast(
  model: InterferenceModel,
  view: InterferenceView,
  now: Instant,
): Forecast {
  const services = new Map<string, ServiceForecast>();
  const byWorker = new Map<string, Node[]>();
  for (const service of view.services) {
    const state = model.services.get(service.name);
    if (state?.ready === true) {
      services.set(service.name, {
        view: service,
        model: state,
        limit: Math.log(service.latencyMs),
        nodes: [],
        totalRate: 0,
        badRate: 0,
      });
    }
  }
  for (const worker of view.workers) {
    const nodes: Node[] = [];
    for (const name of worker.services) {
      const service = services.get(name);
      const pair = model.pairs.get(name)?.get(worker.name);
      if (service === undefined || pair === undefined || pair.rate === 0) {
        continue;
      }
      if (now - pair.seenAt <= STALE_MS) {
        nodes.push(addNode(model, service, pair, worker));
      }
    }
    byWorker.set(worker.name, nodes);
  }
  return { model, services, byWorker };
}

function addNode(
  model: InterferenceModel,
  service: ServiceForecast,
  pair: Pair,
  worker: WorkerView,
): Node {
  const { load, level } = levelOf(model, service.model, pair);
  const node: Node = {
    pair,
    service,
    worker,
    rate: pair.rate * service.model.trend.surge,
    load,
    level,
    badShare: 0,
    unexplained: unexplainedBy(pair, worker),
  };
  node.badShare = badShareAt(node, node.level);
  service.nodes.push(node);
  service.totalRate += node.rate;
  service.badRate += node.rate * node.badShare;
  return node;
}

/** The part of the local level that is surely above the model's, by share of batch work in use. */
function unexplainedBy(pair: Pair, worker: WorkerView): number {
  const sure = pair.offset - SURE_DEVIATIONS * Math.sqrt(pair.offsetVariance);
  const used = worker.tasks.reduce((sum, t) => sum + t.cores * t.share, 0);
  if (sure <= 0 || used <= 0) {
    return 0;
  }
  return sure / Math.max(LEAST_USED, used / worker.cores);
}

/** Returns the share of requests that miss the objective when the node's level is `level`. */
export function badShareAt(node: Node, level: number): number {
  const { model, limit } = node.service;
  const share = shareAbove(model.spread, limit - level) * model.calibration;
  return Math.min(1, share);
}

/** Returns a service's predicted spending as a share of its error budget, with a margin for few samples. */
export function spending(service: ServiceForecast, extraBadRate = 0): number {
  if (service.totalRate === 0) {
    return 0;
  }
  const bad = (service.badRate + extraBadRate) / service.totalRate;
  const margin = 1 + DOUBTED_RATE / service.totalRate;
  return (margin * bad) / (1 - service.view.target);
}

/**
 * Returns the log change of a node's level when a class changes its use by `change` (share of the
 * worker). To the learnt slowdown come `deviations` of its uncertainty and, in proportion to use,
 * what the worker is slower than learnt.
 */
export function levelChange(
  forecastOf: Forecast,
  node: Node,
  batchClass: string,
  change: number,
  deviations: number,
): number {
  const slot = slotOf(forecastOf.model.classes, batchClass);
  const { model } = node.service;
  const share = Math.abs(change);
  const effect = slowdownOf(model, slot, node.load, share);
  const blame = share * node.unexplained;
  const size = effect.mean + deviations * effect.deviation + blame;
  if (change > 0) {
    return size;
  }
  const excess = Math.max(0, node.level - baseline(model, node.load));
  return -Math.min(size, excess);
}

/** Returns the change of a node's rate of bad requests when its level changes by `change`. */
export function badRateChange(node: Node, change: number): number {
  if (Math.abs(change) < NEGLIGIBLE) {
    return 0;
  }
  return node.rate * (badShareAt(node, node.level + change) - node.badShare);
}

/** Applies a change of level to a node and its service. */
export function applyLevel(node: Node, change: number): void {
  node.service.badRate += badRateChange(node, change);
  node.level += change;
  node.badShare = badShareAt(node, node.level);
}
