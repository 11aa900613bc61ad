/**
 * Names of worker incarnations. A worker that restarts keeps its id but loses its state, so state about a
 * worker is keyed by the name of its incarnation: the worker's id and the time at which it started.
 */
import type { Instant } from '../core/time.js';

/** Separates the worker's id from its start time. */
const SEPARATOR = '@';

/** Returns the name of the incarnation started at `startedAt`; the worker's id if that time is unknown. */
export function incarnationOf(
  worker: string,
  startedAt: Instant | undefined,
): string {
  return startedAt === undefined ? worker : `${worker}${SEPARATOR}${startedAt}`;
}

/** Returns the worker's id from the name of an incarnation. */
export function workerIdOf(incarnation: string): string {
  return startTimeOf(incarnation) === undefined
    ? incarnation
    : incarnation.slice(0, incarnation.lastIndexOf(SEPARATOR));
}

/** Returns the start time of an incarnation in wall-clock milliseconds; undefined if its name has none. */
export function startTimeOf(incarnation: string): Instant | undefined {
  const at = incarnation.lastIndexOf(SEPARATOR);
  if (at < 0 || at === incarnation.length - 1) {
    return undefined;
  }
  const startedAt = Number(incarnation.slice(at + 1));
  return isStartTime(startedAt) ? startedAt : undefined;
}

/** Tells whether a value is a valid start time. */
export function isStartTime(value: unknown): value is Instant {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
