/** Orders to workers, as the rest of the system sees them. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { RunEnd, TaskRef } from '@paddlewind/domain/jobs';

/** One incarnation of a worker. */
export interface WorkerAddress {
  /** Name of the incarnation. Calls reach whichever one has the same worker's id by then. */
  readonly id: string;
  readonly address: string;
}

/** An order to begin a run. */
export interface StartOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly payload: string;
  /** End of the lease on the worker's own clock. */
  readonly leaseUntil: Instant;
  readonly fence: number;
  /** Checkpoint to resume from; empty when there is none. */
  readonly checkpoint: string;
  /** Ticket of the advice service, where the queue needs one. */
  readonly ticket: string | undefined;
}

/** An order about a run. */
export interface RunOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly fence: number;
}

/** Why a worker did nothing. */
export type Rejection =
  'fenced' | 'superseded' | 'too_late' | 'no_room' | 'no_ticket';

/** What became of an order. */
export type OrderResult =
  | { readonly kind: 'accepted'; readonly clock: Instant }
  | {
      readonly kind: 'rejected';
      readonly why: Rejection;
      readonly clock: Instant | undefined;
    }
  /** A worker with another id answered. */
  | { readonly kind: 'replaced' }
  /** Nothing was done, nor will be. */
  | { readonly kind: 'not_run'; readonly reason: string }
  /** It may have been carried out, or may still be. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** A run that a worker has at work. */
export interface ActiveRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
  /** Tail latency in milliseconds of a serving task, processor use in thousandths of a core of another. */
  readonly reading: number;
}

/** A run that has ended at a worker and is not acknowledged. */
export interface EndedRun {
  /** Position in the worker's list; rises by one. */
  readonly position: number;
  readonly task: TaskRef;
  readonly run: number;
  readonly how: RunEnd;
  readonly checkpoint: string;
}

/** Extends the lease of everything at a worker, acknowledges ends and reports. */
export interface PollRequest {
  readonly fence: number;
  /** Ends up to this position are recorded. */
  readonly acknowledged: number;
  /** New end of the lease on the worker's own clock; undefined leaves it. */
  readonly leaseUntil: Instant | undefined;
  /** How long the worker may wait for an end before it answers. */
  readonly waitMs: Millis;
  /** Time for the answer beyond that. */
  readonly slackMs: Millis;
}

/** What a look found. */
export type PollResult =
  | {
      readonly kind: 'seen';
      /** When the worker that answered has started, by its time of day; undefined where it does not say. */
      readonly startedAt: Instant | undefined;
      readonly clock: Instant;
      readonly active: readonly ActiveRun[];
      readonly ended: readonly EndedRun[];
    }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'replaced' }
  | { readonly kind: 'failed'; readonly reason: string };

/** Sends orders to workers; every call ends within its timeout. */
export interface WorkerPort {
  start(worker: WorkerAddress, order: StartOrder): Promise<OrderResult>;
  stop(worker: WorkerAddress, order: RunOrder): Promise<OrderResult>;
  /** Limits a run to `percent` of its speed. */
  throttle(
    worker: WorkerAddress,
    order: RunOrder & { readonly percent: number },
  ): Promise<OrderResult>;
  /** Looks at a worker; `takeLate` is given an answer that comes after the look's time. */
  poll(
    worker: WorkerAddress,
    order: PollRequest,
    takeLate: (res: PollResult) => void,
  ): Promise<PollResult>;
  /**
   * Whether the connection is still there over which the last look was answered: a connection ends with its
   * worker, so that only then the next look is sure to reach the same incarnation.
   */
  isConnected(worker: WorkerAddress): boolean;
  /** Closes the connections to a worker that is gone. */
  forget(worker: WorkerAddress): void;
}
