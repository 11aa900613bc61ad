/** Burn of an error budget. */
import type { Millis } from '../core/time.js';

/** An objective as far as burn needs it. */
export interface Objective {
  /** Share of requests that must be good. */
  readonly target: number;
  readonly latencyMs: Millis;
  readonly periodDays: number;
}

/** Requests of one window. */
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

/** Returns the rate at which the budget is spent: 1 spends it in exactly the period; 0 without requests. */
export function burnRate(counts: BurnCounts, target: number): number {
  if (counts.requests === 0) {
    return 0;
  }
  const bad = counts.failed + counts.slow;
  return bad / counts.requests / (1 - target);
}

/** Returns the share of the period's budget that a window spent, if traffic was even over the period. */
export function budgetSpent(
  rate: number,
  windowMs: Millis,
  objective: Objective,
): number {
  return (rate * windowMs) / periodMs(objective);
}
