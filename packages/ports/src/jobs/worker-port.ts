/** Port to the workers. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { RunEnd, TaskRef } from '@paddlewind/domain/jobs';

/** Address of one incarnation of a worker. */
export interface WorkerAddress {
  /** Name of the incarnation. A call may reach a later incarnation with the same worker id. */
  readonly id: string;
  readonly address: string;
  /** Undefined if it is not known. */
  readonly availabilityZone?: string | undefined;
}

/** An order to start a run. */
export interface StartOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly payload: string;
  /** End of the lease, by the worker's clock. */
  readonly leaseUntil: Instant;
  readonly fence: number;
  /** Checkpoint to resume from; empty if there is none. */
  readonly checkpoint: string;
  /** Ticket of the advice service, if the queue requires one. */
  readonly ticket: string | undefined;
}

/** An order about a run. */
export interface RunOrder {
  readonly task: TaskRef;
  readonly run: number;
  readonly fence: number;
}

/** An order to limit a run to `percent` of its speed. */
export interface ThrottleOrder extends RunOrder {
  readonly percent: number;
}

/** Why a worker rejected an order. */
export type Rejection =
  'fenced' | 'superseded' | 'too_late' | 'no_room' | 'no_ticket';

/** Result of an order. */
export type OrderResult =
  | { readonly kind: 'accepted'; readonly clock: Instant }
  | {
      readonly kind: 'rejected';
      readonly why: Rejection;
      readonly clock: Instant | undefined;
    }
  /** A worker with another id answered. */
  | { readonly kind: 'replaced' }
  /** The order was not carried out and won't be. */
  | { readonly kind: 'not_run'; readonly reason: string }
  /** The order may have been carried out, or may still be. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** A run that is active at a worker. */
export interface ActiveRun {
  readonly task: TaskRef;
  readonly run: number;
  readonly checkpoint: string;
  readonly percent: number;
  /** Tail latency in milliseconds for a serving task, otherwise CPU use in thousandths of a core. */
  readonly reading: number;
}

/** A run that has ended at a worker and whose end is not yet acknowledged. */
export interface EndedRun {
  /** Position in the worker's list of ends; increases by one. */
  readonly position: number;
  readonly task: TaskRef;
  readonly run: number;
  readonly how: RunEnd;
  readonly checkpoint: string;
}

/** A poll of a worker: extends the lease of all its runs, acknowledges ends and requests a report. */
export interface PollRequest {
  readonly fence: number;
  /** Acknowledges the ends up to this position. */
  readonly acknowledged: number;
  /** New end of the lease, by the worker's clock; undefined leaves it unchanged. */
  readonly leaseUntil: Instant | undefined;
  /** How long the worker may wait for a run to end before it answers. */
  readonly waitMs: Millis;
  /** Time allowed for the response in addition to `waitMs`. */
  readonly slackMs: Millis;
}

/** Result of a poll. */
export type PollResult =
  | {
      readonly kind: 'seen';
      /** Start time of the worker that answered, by its wall clock; undefined if it does not report one. */
      readonly startedAt: Instant | undefined;
      readonly clock: Instant;
      readonly active: readonly ActiveRun[];
      /** The oldest ends that are not yet acknowledged. */
      readonly ended: readonly EndedRun[];
      /** Whether the worker may have more ends than it lists: a run in neither list may have ended. */
      readonly hasMoreEnds: boolean;
      /** Whether the poll only identified the worker: it acknowledged nothing and extended no lease. */
      readonly isProbe?: boolean | undefined;
    }
  | { readonly kind: 'fenced' }
  | { readonly kind: 'replaced' }
  | { readonly kind: 'failed'; readonly reason: string };

/** Sends orders and polls to workers; every call ends within its timeout. */
export interface WorkerPort {
  start(worker: WorkerAddress, order: StartOrder): Promise<OrderResult>;
  stop(worker: WorkerAddress, order: RunOrder): Promise<OrderResult>;
  /** Limits a run to `percent` of its speed. */
  throttle(worker: WorkerAddress, order: ThrottleOrder): Promise<OrderResult>;
  /** Polls a worker; `takeLate` is called with a response that arrives after the timeout. */
  poll(
    worker: WorkerAddress,
    order: PollRequest,
    takeLate: (res: PollResult) => void,
  ): Promise<PollResult>;
  /**
   * Returns whether the connection that carried the last poll's response is still open. A connection closes
   * when its worker ends, so only then the next poll is certain to reach the same incarnation.
   */
  isConnected(worker: WorkerAddress): boolean;
  /** Closes the connections to a removed worker. */
  disconnect(worker: WorkerAddress): void;
}
