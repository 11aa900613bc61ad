/** Predicted spending of error budgets by worker, and how a change would move it. */
import type { Instant } from '../core/time.js';
import { slotOf } from './classes.js';
import type { InterferenceModel } from './model.js';
import type { Pair } from './pair.js';
import {
  baseline,
  slowdownOf,
  totalSlowdown,
  type ClassShares,
  type ServiceModel,
} from './service-model.js';
import { shareAbove } from './spread.js';
import type { InterferenceView, ServiceView, WorkerView } from './view.js';

/** Response times are taken for unknown when the last is older than this, in milliseconds. */
const STALE_MS = 60_000;

/** Log change below which an effect is taken for none. */
const NEGLIGIBLE = 0.005;

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
  const shares = model.workers.get(worker.name)?.shares;
  const level = alone(service.model, pair.load) + pair.offset;
  const node: Node = {
    pair,
    service,
    worker,
    rate: pair.rate,
    load: pair.load,
    level: level + neighbours(service.model, pair.load, shares),
    badShare: 0,
  };
  node.badShare = badShareAt(node, node.level);
  service.nodes.push(node);
  service.totalRate += node.rate;
  service.badRate += node.rate * node.badShare;
  return node;
}

function alone(model: ServiceModel, load: number): number {
  return baseline(model, load);
}

function neighbours(
  model: ServiceModel,
  load: number,
  shares: ClassShares | undefined,
): number {
  return shares === undefined ? 0 : totalSlowdown(model, load, shares);
}

/** Returns the share of requests that miss the objective when the node's level is `level`. */
export function badShareAt(node: Node, level: number): number {
  const { model, limit } = node.service;
  const share = shareAbove(model.spread, limit - level) * model.calibration;
  return Math.min(1, share);
}

/** Returns a service's predicted spending as a share of its error budget. */
export function spending(service: ServiceForecast, extraBadRate = 0): number {
  if (service.totalRate === 0) {
    return 0;
  }
  const bad = (service.badRate + extraBadRate) / service.totalRate;
  return bad / (1 - service.view.target);
}

/**
 * Returns the log change of a node's level when a class changes its use by `change` (share of the
 * worker); `deviations` are added to the learnt slowdown.
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
  const effect = slowdownOf(model, slot, node.load, Math.abs(change));
  const size = effect.mean + deviations * effect.deviation;
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
