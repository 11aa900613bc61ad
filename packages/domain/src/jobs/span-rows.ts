/** Encoding of spans and losses in rows of the log. */
import type { Millis, SpanBounds } from '../core/time.js';
import type { CountedSuspicion, Loss } from './loss.js';

/** Bounds of a span; the upper one is null if the span has none. */
export type SpanRow = readonly [from: Millis, to: Millis | null];

/** A loss in the row of a task; earlier versions wrote only the first two columns. */
export type LossRow = readonly [
  worker: string,
  suspicion: CountedSuspicion,
  from?: Millis,
  to?: Millis | null,
  resumedFrom?: string,
  noise?: number,
  concurrentShare?: number,
];

/** Encodes a span. */
export function spanRow({ from, to }: SpanBounds): SpanRow {
  return [from, Number.isFinite(to) ? to : null];
}

/** Decodes a span; it is unbounded if the columns are missing, as in rows of earlier versions. */
export function parseSpan(from: unknown, to: unknown): SpanBounds {
  return {
    from: typeof from === 'number' ? from : 0,
    to: typeof to === 'number' ? to : Infinity,
  };
}

/** Encodes a loss. */
export function lossRow({
  worker,
  suspicion,
  age,
  resumedFrom,
  noise,
  concurrentShare,
}: Loss): LossRow {
  const row = [worker, suspicion, ...spanRow(age), resumedFrom] as const;
  if (concurrentShare !== undefined) {
    return [...row, noise ?? 0, concurrentShare];
  }
  return noise === undefined ? row : [...row, noise];
}

/** Decodes a loss. */
export function parseLoss([worker, suspicion, ...more]: LossRow): Loss {
  const [from, to, resumedFrom = '', noise, concurrentShare] = more;
  return {
    worker,
    suspicion,
    age: parseSpan(from, to),
    resumedFrom,
    ...(typeof noise === 'number' && noise > 0 ? { noise } : {}),
    ...(typeof concurrentShare === 'number' ? { concurrentShare } : {}),
  };
}
