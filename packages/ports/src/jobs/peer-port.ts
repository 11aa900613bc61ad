/** Calls between the hosts of one system. */
import type { Instant, Millis } from '@paddlewind/domain';

import type { AppendResult } from './job-log.js';
import type { OrderResult, StartOrder, WorkerAddress } from './worker-port.js';

/** A start that a leader has another host send; that host knows the job's payload from the log. */
export interface RelayedStart {
  readonly worker: WorkerAddress;
  readonly order: Omit<StartOrder, 'payload'>;
  /** Latest time at which it is sent, by the clock of the process that is to send it. */
  readonly sendBy: Instant;
}

/** Starts that a leader has another host send. */
export interface RelayBatch {
  /** Epoch of the leader. */
  readonly epoch: number;
  /** Process that is to send them: clocks of two processes can't be compared. */
  readonly process: string;
  readonly starts: readonly RelayedStart[];
}

/**
 * Why a host has not sent a start: it is another process than was meant, it is too late, it does not follow
 * the log or leads itself, it knows no such job that is open, or it knows of a later leader.
 */
export type RelayRefusal =
  'other_process' | 'late' | 'not_following' | 'unknown_job' | 'deposed';

/** A process of a host, as it tells of itself. */
export interface PeerProcess {
  readonly process: string;
  /** Time by its clock at which it answered. */
  readonly clock: Instant;
}

/** What became of a start that another host was to send. */
export type RelayOutcome =
  | { readonly kind: 'sent'; readonly result: OrderResult }
  /** Nothing was sent, nor will be. */
  | { readonly kind: 'refused'; readonly why: RelayRefusal };

/** How a call that carried a batch failed: with `unknown` a start may have been sent, or may still be. */
export interface RelayFailure {
  readonly kind: 'failed';
  readonly outcome: 'not_run' | 'unknown';
  readonly reason: string;
}

/** How such a call ended; of a start of which nothing was told it is not known what became. */
export type RelayCallResult = { readonly kind: 'ended' } | RelayFailure;

/** What a leader is told while a batch is under way. */
export interface RelayObserver {
  /** Time within which the host has to take the batch; else the call has failed. */
  readonly takenWithinMs: Millis;
  /** The host has taken the batch: in time, or late, once the call has failed. */
  readonly onAccepted: (by: PeerProcess) => void;
  /** What became of the start at this index of the batch. */
  readonly onOutcome: (at: number, outcome: RelayOutcome) => void;
}

/** Reaches other hosts. */
export interface PeerPort {
  /**
   * Has the leader at `address` append records to the inbox, together with those of other hosts. It is
   * `refused` when that host does not lead, and `unknown` when it does not answer.
   */
  append(
    address: string,
    records: readonly Uint8Array[],
  ): Promise<AppendResult>;
  /** Asks which process is at `address`; undefined where none tells. */
  identify(address: string): Promise<PeerProcess | undefined>;
  /** Has the host at `address` send starts to workers; the slowest worker holds up no other's outcome. */
  relay(
    address: string,
    batch: RelayBatch,
    watch: RelayObserver,
  ): Promise<RelayCallResult>;
}
