/** Thresholds of the policy, derived from the weights of a deployment. */
import type { Millis } from '../core/time.js';
import type { WeightsSpec } from '../declarations/schemas.js';

/** The weights that the policy reads. */
export type InterferenceWeights = Pick<
  WeightsSpec,
  'tailLatency' | 'batchThroughput' | 'evictions'
>;

/** Shares of throttled tasks, from none to the most. */
export const THROTTLE_LEVELS = [1, 0.75, 0.5, 0.25, 0.1] as const;

/** Weights of steered backend servers, from none to the most. */
export const STEER_LEVELS = [1, 0.75, 0.5, 0.25, 0.1] as const;

/** Least share that a task is throttled to. */
export const LEAST_SHARE = 0.1;

/** Thresholds of the policy; shares are of a service's error budget. */
export interface PolicySettings {
  /** Predicted spending above which the policy acts. */
  readonly actAbove: number;
  /** Spending that an action aims for, and that a release must keep. */
  readonly aimFor: number;
  /** Deviations of a learnt slowdown that a release or a placement allows for. */
  readonly caution: number;
  /** How long a task stays throttled before it may be evicted. */
  readonly evictAfterMs: Millis;
  /** Core-seconds that an eviction must win per core of the task. */
  readonly evictionCostSeconds: number;
  /** Evictions by this policy per running preemptible task and hour. */
  readonly evictionsPerTaskHour: number;
}

const EVEN = 0.5;

/** Part of the threshold that an action aims for. */
const AIM = 0.9;

/** Derives the thresholds from the weights; only their ratios count. */
export function settingsFor(weights: InterferenceWeights): PolicySettings {
  const tail = ratio(weights.tailLatency, weights.batchThroughput);
  const care = ratio(weights.evictions, weights.batchThroughput);
  const actAbove = between(0.94, 0.92, tail);
  return {
    actAbove,
    aimFor: AIM * actAbove,
    caution: between(0.25, 1, tail),
    evictAfterMs: between(60_000, 180_000, care),
    evictionCostSeconds: between(60, 300, care),
    evictionsPerTaskHour: between(0.3, 0.06, care),
  };
}

function ratio(a: number, b: number): number {
  const sum = a + b;
  return sum > 0 ? a / sum : EVEN;
}

function between(low: number, high: number, at: number): number {
  return low + (high - low) * at;
}
