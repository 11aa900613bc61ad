/** A check of one promise over a history. */
import type { History, HistoryEvent } from './history.js';

/** A breach of a promise, with the events that show it. */
export interface Violation {
  readonly message: string;
  readonly events: readonly HistoryEvent[];
}

/** What a check found. */
export interface Finding {
  /** How many cases were looked at; with none, the promise was not tried. */
  readonly checked: number;
  readonly violations: readonly Violation[];
}

/** A promise and the function that checks it. */
export interface Check {
  readonly name: string;
  /** The promise in a sentence. */
  readonly promise: string;
  /** What one of the cases is. */
  readonly cases: string;
  readonly check: (history: History) => Finding;
}

/** Returns the violation that the fewest events show; the earliest of equals. */
export function shortest(
  violations: readonly Violation[],
): Violation | undefined {
  return [...violations].sort(
    (a, b) => a.events.length - b.events.length || startOf(a) - startOf(b),
  )[0];
}

function startOf(violation: Violation): number {
  return violation.events[0]?.at ?? 0;
}
