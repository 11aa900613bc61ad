/** The loss of workers under runs of a task, and how far each speaks against it. */
import type { Instant, SpanBounds } from '../core/time.js';

/** All values of `Suspicion`. */
export const SUSPICIONS = [
  /** Nothing of another job could have been the reason. */
  'sole',
  /** Runs of other jobs could have been it as well. */
  'shared',
  /** Another reason is likely: workers are being lost for none, this one may be out of reach or have left. */
  'doubtful',
  /** It had been at work for long. */
  'cleared',
  /** So had all that ran there, and the worker has crashed. */
  'unexplained',
] as const;

/** How far the run of a task may be the reason why its worker was lost. */
export type Suspicion = (typeof SUSPICIONS)[number];

/** Suspicions that speak against a task. */
export type Charge = Extract<Suspicion, 'sole' | 'shared' | 'doubtful'>;

/** The loss of a worker under a task. */
export interface Loss {
  readonly worker: string;
  charge: Charge;
  /** How long the run had been at work. */
  readonly age: SpanBounds;
  /** Checkpoint from which the run resumed; empty where it began anew. */
  readonly resumedFrom: string;
}

/** What a task has cost so far. */
export interface Blame {
  /** Losses since it came under suspicion. */
  losses: Loss[];
  /** Monotonic time at which this host learnt of the last of them. */
  since: Instant;
}

/** Returns the blame of a task under which no worker was lost. */
export function noBlame(): Blame {
  return { losses: [], since: -Infinity };
}
