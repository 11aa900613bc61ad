/** Thresholds of the interference policy, derived from the weights in the configuration. */
import type { Millis } from '../core/time.js';
import type { WeightsSpec } from '../declarations/schemas.js';

/** Weights used by the interference policy. */
export type InterferenceWeights = Pick<
  WeightsSpec,
  'tailLatency' | 'batchThroughput' | 'evictions'
>;

/** Shares to which tasks are throttled, in descending order; 1 is not throttled. */
export const THROTTLE_LEVELS = [1, 0.75, 0.5, 0.25, 0.1] as const;

/** Weights of backend servers, in descending order; 1 is not steered. */
export const STEER_LEVELS = [1, 0.75, 0.5, 0.25, 0.1] as const;

/** Minimum share to which a task is throttled. */
export const MIN_SHARE = 0.1;

/** Thresholds of the policy; a burn of 1 uses up a service's error budget. */
export interface PolicySettings {
  /** Predicted burn above which the policy acts. */
  readonly burnThreshold: number;
  /** Predicted burn that actions aim for, and that must not be exceeded when they are reversed. */
  readonly targetBurn: number;
  /** Standard deviations added to a learned slowdown when a throttle is released or a task is placed. */
  readonly safetyDeviations: number;
  /** Time for which a task must have been throttled before it may be evicted. */
  readonly evictAfterMs: Millis;
  /** Core-seconds per core of the task that an eviction must gain. */
  readonly evictionCostSeconds: number;
  /** Maximum evictions by this policy per hour and running preemptible task. */
  readonly evictionsPerTaskHour: number;
}

const EQUAL_RATIO = 0.5;

/** Target burn as a fraction of the threshold. */
const TARGET_FRACTION = 0.9;

/** Derives the thresholds from the ratios of the weights. */
export function settingsFor(weights: InterferenceWeights): PolicySettings {
  const latencyWeight = ratio(weights.tailLatency, weights.batchThroughput);
  const evictionWeight = ratio(weights.evictions, weights.batchThroughput);
  const burnThreshold = interpolate(0.94, 0.92, latencyWeight);
  return {
    burnThreshold,
    targetBurn: TARGET_FRACTION * burnThreshold,
    safetyDeviations: interpolate(0.25, 1, latencyWeight),
    evictAfterMs: interpolate(60_000, 180_000, evictionWeight),
    evictionCostSeconds: interpolate(60, 300, evictionWeight),
    evictionsPerTaskHour: interpolate(0.3, 0.06, evictionWeight),
  };
}

function ratio(a: number, b: number): number {
  const sum = a + b;
  return sum > 0 ? a / sum : EQUAL_RATIO;
}

function interpolate(low: number, high: number, at: number): number {
  return low + (high - low) * at;
}
