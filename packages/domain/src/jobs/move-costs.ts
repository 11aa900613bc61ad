/** Whether running tasks can be moved quickly enough to free capacity for work that callers wait for. */
import type { Millis } from '../core/time.js';
import type { QueueTerms } from './spec.js';

/** Time that a move of a run costs on a deployment. */
export interface MoveCosts {
  /** Longest time from the order to stop a run until its capacity is free. */
  readonly stopMs: Millis;
  /** Time that a run takes to resume from a checkpoint. */
  readonly restoreMs: Millis;
}

/**
 * Returns the costs of moves if a run can be stopped within the target latency of the most urgent queue, since
 * capacity that becomes free later does not help its callers; undefined otherwise.
 */
export function usableMoveCosts(
  costs: MoveCosts | undefined,
  queues: Iterable<Pick<QueueTerms, 'targetLatencyMs'>>,
): MoveCosts | undefined {
  let shortestTargetMs = Infinity;
  for (const { targetLatencyMs } of queues) {
    if (targetLatencyMs > 0) {
      shortestTargetMs = Math.min(shortestTargetMs, targetLatencyMs);
    }
  }
  const isQuick =
    shortestTargetMs < Infinity &&
    costs !== undefined &&
    costs.stopMs <= shortestTargetMs;
  return isQuick ? costs : undefined;
}
