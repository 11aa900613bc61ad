/** Burn rate alerts over two windows: the long one shows significance, the short one that the burn is ongoing. */
import type { Millis } from '../core/time.js';
import { type BurnCounts, burnRate, type Objective, periodMs } from './burn.js';

/** How soon an alert needs attention: `fast` immediately, `slow` within about a day. */
export type AlertSeverity = 'fast' | 'slow';

/** Alert rule; `budgetShare` is the share of the period's budget that has to be spent in the long window. */
export interface AlertRule {
  readonly severity: AlertSeverity;
  readonly longMs: Millis;
  readonly shortMs: Millis;
  readonly budgetShare: number;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Multiwindow, multi-burn-rate rules from "Alerting on SLOs" in the SRE workbook. */
export const ALERT_RULES: readonly AlertRule[] = [
  {
    severity: 'fast',
    longMs: HOUR_MS,
    shortMs: 5 * MINUTE_MS,
    budgetShare: 0.02,
  },
  {
    severity: 'fast',
    longMs: 6 * HOUR_MS,
    shortMs: 30 * MINUTE_MS,
    budgetShare: 0.05,
  },
  {
    severity: 'slow',
    longMs: 72 * HOUR_MS,
    shortMs: 6 * HOUR_MS,
    budgetShare: 0.1,
  },
];

/** Minimum number of bad requests in the long window for an alert. */
const MIN_BAD = 5;

/** Returns the burn rate at which a rule fires. */
export function alertThreshold(rule: AlertRule, objective: Objective): number {
  return (rule.budgetShare * periodMs(objective)) / rule.longMs;
}

/** Returns the severities that fire; `countsOver` returns the counts of a window. */
export function firingAlerts(
  objective: Objective,
  countsOver: (windowMs: Millis) => BurnCounts,
): ReadonlySet<AlertSeverity> {
  const firing = new Set<AlertSeverity>();
  for (const rule of ALERT_RULES) {
    const long = countsOver(rule.longMs);
    const threshold = alertThreshold(rule, objective);
    const exceeded = [long, countsOver(rule.shortMs)].every(
      counts => burnRate(counts, objective.target) >= threshold,
    );
    if (exceeded && long.failed + long.slow >= MIN_BAD) {
      firing.add(rule.severity);
    }
  }
  return firing;
}
