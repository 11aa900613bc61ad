/** The verdict on a history: every promise with what was checked, and the shortest offending history. */
import { shortest, type Check, type Finding } from './check.js';
import { CHECKS } from './checks/index.js';
import type { History, HistoryEvent } from './history.js';

/** A promise with what its check found. */
export interface Verdict {
  readonly check: Check;
  readonly finding: Finding;
}

/** Events of an offending history that are printed. */
const MAX_PRINTED = 20;

/** Checks every promise. */
export function judge(
  history: History,
  checks: readonly Check[] = CHECKS,
): Verdict[] {
  return checks.map(check => ({ check, finding: check.check(history) }));
}

/** Tells whether any promise is broken. */
export function isBroken(verdicts: readonly Verdict[]): boolean {
  return verdicts.some(({ finding }) => finding.violations.length > 0);
}

/** Renders verdicts as lines of text; instants count from the history's start. */
export function renderVerdicts(
  verdicts: readonly Verdict[],
  history: History,
): string[] {
  const start = history[0]?.at ?? 0;
  return verdicts.flatMap(verdict => renderVerdict(verdict, start));
}

function renderVerdict({ check, finding }: Verdict, start: number): string[] {
  const { checked, violations } = finding;
  const worst = shortest(violations);
  if (worst === undefined) {
    const how = checked === 0 ? 'not tried' : 'held';
    return [`${check.name}: ${how} (${checked} ${check.cases})`];
  }
  const lines = worst.events
    .slice(0, MAX_PRINTED)
    .map(event => `  ${renderEvent(event, start)}`);
  const left = worst.events.length - lines.length;
  return [
    `${check.name}: BROKEN, ${violations.length} of ${checked} ${check.cases}. ${check.promise}`,
    `  ${worst.message}:`,
    ...lines,
    ...(left > 0 ? [`  and ${left} more events`] : []),
  ];
}

function renderEvent(event: HistoryEvent, start: number): string {
  const { at, type, ...rest } = event;
  return `${(at - start).toFixed(1)} ms ${type} ${JSON.stringify(rest)}`;
}
