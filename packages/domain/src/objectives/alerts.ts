/** Alerts on burn over two windows: the long one shows that it matters, the short one that it goes on. */
import type { Millis } from '../core/time.js';
import { type BurnCounts, burnRate, type Objective, periodMs } from './burn.js';

/** How soon a person should look: `fast` at once, `slow` within a day or so. */
export type AlertSeverity = 'fast' | 'slow';

/** A rule: the share of the period's budget spent in the long window at which it fires. */
export interface AlertRule {
  readonly severity: AlertSeverity;
  readonly longMs: Millis;
  readonly shortMs: Millis;
  readonly budgetShare: number;
}

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;

/** Rules after the SRE workbook, "Alerting on SLOs", multiwindow and multi-burn-rate. */
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

/** Fewer bad requests than this in the long window raise no alert. */
const MIN_BAD = 5;

/** Returns the burn rate from which a rule fires. */
export function alertThreshold(rule: AlertRule, objective: Objective): number {
  return (rule.budgetShare * periodMs(objective)) / rule.longMs;
}

/** Returns the severities that fire, given the counts of a window. */
export function firingAlerts(
  objective: Objective,
  countsOver: (windowMs: Millis) => BurnCounts,
): ReadonlySet<AlertSeverity> {
  const firing = new Set<AlertSeverity>();
  for (const rule of ALERT_RULES) {
    const long = countsOver(rule.longMs);
    const threshold = alertThreshold(rule, objective);
    const burns = [long, countsOver(rule.shortMs)].every(
      counts => burnRate(counts, objective.target) >= threshold,
    );
    if (burns && long.failed + long.slow >= MIN_BAD) {
      firing.add(rule.severity);
    }
  }
  return firing;
}
