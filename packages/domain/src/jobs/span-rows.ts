/** How spans and losses stand in rows of the log. */
import type { Millis, SpanBounds } from '../core/time.js';
import type { Charge, Loss } from './loss.js';

/** Bounds of a span in a row: null where it may be of any length. */
export type SpanRow = readonly [from: Millis, to: Millis | null];

/** A loss in the row of a task; earlier versions wrote its first two columns. */
export type LossRow = readonly [
  worker: string,
  charge: Charge,
  from?: Millis,
  to?: Millis | null,
  resumedFrom?: string,
];

/** Returns the columns of a span. */
export function spanRow({ from, to }: SpanBounds): SpanRow {
  return [from, Number.isFinite(to) ? to : null];
}

/** Returns the span in its columns; where an earlier version wrote none, nothing is known of it. */
export function spanFrom(from: unknown, to: unknown): SpanBounds {
  return {
    from: typeof from === 'number' ? from : 0,
    to: typeof to === 'number' ? to : Infinity,
  };
}

/** Returns the row of a loss. */
export function lossRow({ worker, charge, age, resumedFrom }: Loss): LossRow {
  return [worker, charge, ...spanRow(age), resumedFrom];
}

/** Returns the loss in a row. */
export function lossFrom([worker, charge, ...more]: LossRow): Loss {
  const [from, to, resumedFrom = ''] = more;
  return { worker, charge, age: spanFrom(from, to), resumedFrom };
}
