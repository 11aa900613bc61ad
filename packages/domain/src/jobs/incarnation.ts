/**
 * Names of incarnations of workers. A worker may start again under its id and then knows nothing of before:
 * what is kept of a worker is kept by the name of its incarnation, which has the id and the time of the start.
 */
import type { Instant } from '../core/time.js';

/** Stands before the time of the start. */
const SEPARATOR = '@';

/** Returns the name of the incarnation that started at `startedAt`; the worker's id where that is not known. */
export function incarnationOf(
  worker: string,
  startedAt: Instant | undefined,
): string {
  return startedAt === undefined ? worker : `${worker}${SEPARATOR}${startedAt}`;
}

/** Returns the id of an incarnation's worker. */
export function workerIdOf(incarnation: string): string {
  return startTimeOf(incarnation) === undefined
    ? incarnation
    : incarnation.slice(0, incarnation.lastIndexOf(SEPARATOR));
}

/** Returns when an incarnation started, in wall-clock milliseconds; undefined where its name does not say. */
export function startTimeOf(incarnation: string): Instant | undefined {
  const at = incarnation.lastIndexOf(SEPARATOR);
  if (at < 0 || at === incarnation.length - 1) {
    return undefined;
  }
  const startedAt = Number(incarnation.slice(at + 1));
  return isStartTime(startedAt) ? startedAt : undefined;
}

/** Whether a value may be the time of a start. */
export function isStartTime(value: unknown): value is Instant {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
