/** Losses of workers while they ran a task, and how far each loss counts against the task. */
import type { Instant, Millis, SpanBounds } from '../core/time.js';

/** Age from which a run is no longer considered the cause of the loss of its worker. */
export const SETTLED_MS: Millis = 5_000;

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
  /** The worker has left as announced: no run is the cause. */
  'unrelated',
] as const;

/** How likely it is that a run caused the loss of its worker. */
export type Suspicion = (typeof SUSPICIONS)[number];

/** Suspicions that count against a task. */
export type CountedSuspicion = Extract<
  Suspicion,
  'sole' | 'shared' | 'doubtful'
>;

/** How likely a lost run is to be the cause, and its age when it was lost. */
export interface LossAttribution {
  readonly suspicion: Suspicion;
  readonly age: SpanBounds;
  /** Probability with which workers that did not run the task are being lost while a run settles. */
  readonly noise: number;
  /** Share of the workers with other jobs that were lost at the same time; 0 if fewer than two were. */
  readonly concurrentShare: number;
}

/** The journal record of a loss, as this host applied it. */
export interface AppliedLoss {
  /** Number of the run that was lost. */
  readonly run: number;
  /** Epoch of the leader that recorded the loss. */
  readonly epoch: number;
  /** Monotonic time at which this host applied the record. */
  readonly at: Instant;
  /** Journal time of the newest report before the record. */
  readonly journalAt: Millis;
}

/** The loss of a worker while it ran a task. */
export interface Loss {
  readonly worker: string;
  readonly suspicion: CountedSuspicion;
  /** Age of the run when the worker was lost. */
  readonly age: SpanBounds;
  /** Probability with which a healthy worker was being lost, at that time, while a run settles; absent if 0. */
  readonly noise?: number;
  /** Share of the workers with other jobs that were lost at the same time; absent if 0. */
  readonly concurrentShare?: number;
  /** Checkpoint from which the run resumed; empty if it started from scratch. */
  readonly resumedFrom: string;
  /** The record of the loss; absent if the loss was read from a restated job. */
  applied?: AppliedLoss;
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

/** Keeps when this host applied the record of the newest loss; does nothing if no loss counts. */
export function noteLossApplied(
  { losses }: LossHistory,
  worker: string,
  applied: AppliedLoss,
): void {
  const newest = losses.at(-1);
  if (newest?.worker === worker) {
    newest.applied = applied;
  }
}
