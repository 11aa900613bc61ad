/** Losses of workers while they ran a task, and how far each loss counts against the task. */
import type { Instant, SpanBounds } from '../core/time.js';

/** All values of `Suspicion`. */
export const SUSPICIONS = [
  /** No run of another job could have caused the loss. */
  'sole',
  /** Runs of other jobs could have caused the loss as well. */
  'shared',
  /**
   * Another cause is likely: many workers are being lost that did not run the task, or this worker may only
   * be unreachable or have left. Also used if the age of the run is not known precisely enough.
   */
  'doubtful',
  /** The run had been running for so long that it is not the cause. */
  'cleared',
  /** All runs on the worker had been running for long, and the worker crashed or was removed. */
  'unexplained',
] as const;

/** How likely it is that a run caused the loss of its worker. */
export type Suspicion = (typeof SUSPICIONS)[number];

/** Suspicions that count against a task. */
export type CountedSuspicion = Extract<
  Suspicion,
  'sole' | 'shared' | 'doubtful'
>;

/** The loss of a worker while it ran a task. */
export interface Loss {
  readonly worker: string;
  suspicion: CountedSuspicion;
  /** Age of the run when the worker was lost. */
  readonly age: SpanBounds;
  /** Checkpoint from which the run resumed; empty if it started from scratch. */
  readonly resumedFrom: string;
}

/** Workers lost while they ran a task. */
export interface LossHistory {
  /** Losses since the task came under suspicion. */
  losses: Loss[];
  /** Monotonic time at which this host learned of the last of them. */
  lastLossAt: Instant;
}

/** Returns the history of a task without losses. */
export function emptyLossHistory(): LossHistory {
  return { losses: [], lastLossAt: -Infinity };
}
