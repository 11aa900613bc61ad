/** Steering of requests away from slow backend servers, the cheapest action. */
import type { Instant } from '../core/time.js';
import {
  badShareAt,
  spending,
  type Forecast,
  type Node,
  type ServiceForecast,
} from './forecast.js';
import {
  mayLower,
  mayRaise,
  noteChange,
  steerMemory,
  type PolicyMemory,
  type SteerMemory,
} from './memory.js';
import { baseline } from './service-model.js';
import { STEER_LEVELS, type PolicySettings } from './settings.js';
import type { SteerAction } from './view.js';

/** Time that a weight is kept before it falls further. */
const CUT_DWELL_MS = 10_000;

/** Mean weight that is kept over the workers of a service. */
const LEAST_MEAN_WEIGHT = 0.75;

/** A node is slow when its misses are this many times the service's mean, and usual again below. */
const SLOW_RATIO = 2;
const USUAL_RATIO = 1.1;

/** Least gain, as a share of the error budget. */
const LEAST_GAIN = 0.01;

/** Step of load at which the effect on the other workers is measured. */
const LOAD_STEP = 0.1;

/** Advises weights for all services and applies their effect to the forecast. */
export function adviseSteering(
  predicted: Forecast,
  memory: PolicyMemory,
  settings: PolicySettings,
  now: Instant,
): SteerAction[] {
  const actions: SteerAction[] = [];
  for (const service of predicted.services.values()) {
    if (spending(service) > settings.actAbove) {
      actions.push(...steerAway(service, memory, settings, now));
    }
    actions.push(...steerBack(service, memory, settings, now));
  }
  return actions;
}

function memories(
  service: ServiceForecast,
  memory: PolicyMemory,
  now: Instant,
): { node: Node; known: SteerMemory }[] {
  const found: { node: Node; known: SteerMemory }[] = [];
  for (const node of service.nodes) {
    const known = steerMemory(memory, service.view.name, node.worker.name, now);
    if (known !== undefined) {
      found.push({ node, known });
    }
  }
  return found;
}

function steerAway(
  service: ServiceForecast,
  memory: PolicyMemory,
  settings: PolicySettings,
  now: Instant,
): SteerAction[] {
  const actions: SteerAction[] = [];
  const entries = memories(service, memory, now);
  let weights = entries.reduce((sum, { known }) => sum + known.weight, 0);
  const least = LEAST_MEAN_WEIGHT * entries.length;
  const strain = strainOfLoad(service);
  entries.sort((a, b) => b.node.badShare - a.node.badShare);
  for (const { node, known } of entries) {
    const meanBad = service.badRate / service.totalRate;
    if (
      spending(service) <= settings.aimFor ||
      node.badShare < SLOW_RATIO * meanBad
    ) {
      break;
    }
    const next = STEER_LEVELS.find(level => level < known.weight);
    if (next === undefined || !mayCut(known, now)) {
      continue;
    }
    const fall = known.weight - next;
    const change = changeOfWeight(node, next / known.weight, strain);
    const budget = (1 - service.view.target) * service.totalRate;
    if (weights - fall < least || -change.badRate < LEAST_GAIN * budget) {
      continue;
    }
    weights -= fall;
    service.badRate += change.badRate;
    node.rate = change.rate;
    node.load *= next / known.weight;
    node.badShare = badShareAt(node, change.level);
    node.level = change.level;
    actions.push(setWeight(node, known, next, 'objective_at_risk', now));
  }
  return actions;
}

function mayCut(known: SteerMemory, now: Instant): boolean {
  return mayLower(known, now) && now - known.changedAt >= CUT_DWELL_MS;
}

function setWeight(
  node: Node,
  known: SteerMemory,
  weight: number,
  reason: 'objective_at_risk' | 'objective_safe',
  now: Instant,
): SteerAction {
  known.weight = weight;
  noteChange(known, now);
  return {
    kind: 'steer',
    service: node.service.view.name,
    worker: node.worker.name,
    weight,
    reason,
  };
}

/** Growth of a service's rate of misses per share of its load that is moved onto it. */
function strainOfLoad(service: ServiceForecast): number {
  let growth = 0;
  for (const node of service.nodes) {
    const change = curveChange(node, 1 + LOAD_STEP);
    const bad = badShareAt(node, node.level + change);
    growth += node.rate * (bad * (1 + LOAD_STEP) - node.badShare);
  }
  return Math.max(0, growth) / LOAD_STEP;
}

function curveChange(node: Node, factor: number): number {
  const { model } = node.service;
  return baseline(model, node.load * factor) - baseline(model, node.load);
}

/** Effect on the service of multiplying a node's weight. */
function changeOfWeight(
  node: Node,
  factor: number,
  strain: number,
): { rate: number; level: number; badRate: number } {
  const rate = node.rate * factor;
  const level = node.level + curveChange(node, factor);
  const moved = (node.rate - rate) / node.service.totalRate;
  const own = rate * badShareAt(node, level) - node.rate * node.badShare;
  return { rate, level, badRate: own + strain * moved };
}

function steerBack(
  service: ServiceForecast,
  memory: PolicyMemory,
  settings: PolicySettings,
  now: Instant,
): SteerAction[] {
  const actions: SteerAction[] = [];
  const strain = strainOfLoad(service);
  for (const { node, known } of memories(service, memory, now)) {
    const next = STEER_LEVELS.findLast(level => level > known.weight);
    if (next === undefined || !mayRaise(known, now)) {
      continue;
    }
    const change = changeOfWeight(node, next / known.weight, strain);
    const meanBad = service.badRate / service.totalRate;
    const usual =
      badShareAt(node, change.level) <= USUAL_RATIO * Math.max(meanBad, 1e-6);
    if (!usual && spending(service, change.badRate) > settings.aimFor) {
      continue;
    }
    service.badRate += change.badRate;
    node.rate = change.rate;
    node.level = change.level;
    node.badShare = badShareAt(node, change.level);
    actions.push(setWeight(node, known, next, 'objective_safe', now));
  }
  return actions;
}
