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
 * Most workers for which moves are used: placing tasks by the forecast of loads takes up to twice as long, and
 * a leader of 1,000 workers has no processor time to spare for it.
 */
const MAX_WORKERS = 500;

/**
 * Returns the costs of moves if a run can be stopped within the target latency of the most urgent queue, since
 * capacity that becomes free later does not help its callers; undefined otherwise.
 */
export function usableMoveCosts(
  costs: MoveCosts | undefined,
  queues: Iterable<Pick<QueueTerms, 'targetLatencyMs'>>,
  workers = 0,
): MoveCosts | undefined {
  let shortestTargetMs = Infinity;
  for (const { targetLatencyMs } of queues) {
    if (targetLatencyMs > 0) {
      shortestTargetMs = Math.min(shortestTargetMs, targetLatencyMs);
    }
  }
  const isQuick =
    workers <= MAX_WORKERS &&
    shortestTargetMs < Infinity &&
    costs !== undefined &&
    costs.stopMs <= shortestTargetMs;
  return isQuick ? costs : undefined;
}
