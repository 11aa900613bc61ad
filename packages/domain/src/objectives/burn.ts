/** Error budget burn. */
import type { Millis } from '../core/time.js';

/** The parts of a service-level objective that determine burn. */
export interface Objective {
  /** Required share of good requests. */
  readonly target: number;
  readonly latencyMs: Millis;
  readonly periodDays: number;
}

/** Request counts of one window; failed and slow requests are bad. */
export interface BurnCounts {
  readonly requests: number;
  readonly failed: number;
  readonly slow: number;
}

const DAY_MS = 86_400_000;

/** Returns the period of an objective in milliseconds. */
export function periodMs(objective: Objective): Millis {
  return objective.periodDays * DAY_MS;
}

/** Returns the burn rate: at 1 the budget lasts exactly its period; 0 if there are no requests. */
export function burnRate(counts: BurnCounts, target: number): number {
  if (counts.requests === 0) {
    return 0;
  }
  const bad = counts.failed + counts.slow;
  return bad / counts.requests / (1 - target);
}

/** Returns the share of the period's budget spent in a window, assuming constant traffic over the period. */
export function budgetSpent(
  rate: number,
  windowMs: Millis,
  objective: Objective,
): number {
  return (rate * windowMs) / periodMs(objective);
}
