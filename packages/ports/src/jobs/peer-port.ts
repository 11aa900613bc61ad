/** Port to the other hosts of the deployment. */
import type { Instant, Millis } from '@paddlewind/domain';

import type { AppendResult } from './job-log.js';
import type { OrderResult, StartOrder, WorkerAddress } from './worker-port.js';

/** A start order that a leader sends through another host, which reads the job's payload from the log. */
export interface RelayedStart {
  readonly worker: WorkerAddress;
  readonly order: Omit<StartOrder, 'payload'>;
  /** Deadline for sending it, by the clock of the process that sends it. */
  readonly sendBy: Instant;
}

/** A batch of starts that a leader sends through another host. */
export interface RelayBatch {
  /** Epoch of the leader. */
  readonly epoch: number;
  /** Process that has to send them; the deadlines are valid on its clock only. */
  readonly process: string;
  readonly starts: readonly RelayedStart[];
}

/**
 * Why a host refused to send a start: the batch is addressed to another process, the deadline has passed, the
 * host does not follow the log or is the leader itself, it knows no such open job, or it knows a later
 * leader.
 */
export type RelayRefusal =
  'other_process' | 'late' | 'not_following' | 'unknown_job' | 'deposed';

/** Identity of a host's process, as reported by itself. */
export interface PeerProcess {
  readonly process: string;
  /** Time of the report, by its own clock. */
  readonly clock: Instant;
  /** Upper bound of the age of the newest heartbeat of a leader that it has read; undefined if unknown. */
  readonly maxHeartbeatAgeMs?: Millis | undefined;
  /** Availability zone of the host; undefined if it does not tell it. */
  readonly availabilityZone?: string | undefined;
}

/** Outcome of one relayed start. */
export type RelayOutcome =
  | { readonly kind: 'sent'; readonly result: OrderResult }
  /** Nothing was or will be sent. */
  | { readonly kind: 'refused'; readonly why: RelayRefusal };

/** Failure of a call that carried a batch; with `unknown`, its starts may have been sent or may still be. */
export interface RelayFailure {
  readonly kind: 'failed';
  readonly outcome: 'not_run' | 'unknown';
  readonly reason: string;
}

/** Result of such a call; starts without a reported outcome remain unknown. */
export type RelayCallResult = { readonly kind: 'ended' } | RelayFailure;

/** Callbacks that report the progress of a batch to the leader. */
export interface RelayObserver {
  /** Time within which the host has to accept the batch; otherwise the call fails. */
  readonly takenWithinMs: Millis;
  /** Called when the host has accepted the batch, also after the call has failed. */
  readonly onAccepted: (by: PeerProcess) => void;
  /** Called with the outcome of the start at index `at` of the batch. */
  readonly onOutcome: (at: number, outcome: RelayOutcome) => void;
}

/** Client of other hosts. */
export interface PeerPort {
  /**
   * Appends records to the inbox through the leader at `address`, which batches them with those of other
   * hosts. Returns `refused` if that host is not the leader, and `unknown` if it does not answer.
   */
  append(
    address: string,
    records: readonly Uint8Array[],
  ): Promise<AppendResult>;
  /** Returns the process that serves `address`; undefined if it doesn't answer or doesn't know the call. */
  identify(address: string): Promise<PeerProcess | undefined>;
  /** Sends starts to workers through the host at `address`; a slow worker does not delay other outcomes. */
  relay(
    address: string,
    batch: RelayBatch,
    observer: RelayObserver,
  ): Promise<RelayCallResult>;
}
