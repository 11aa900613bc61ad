/** Calls between the hosts of one system. */
import type { Instant } from '@paddlewind/domain';

import type { AppendResult } from './job-log.js';
import type { OrderResult, StartOrder, WorkerAddress } from './worker-port.js';

/** A start that a leader has another host send; that host knows the job's payload from the log. */
export interface RelayedStart {
  /** Epoch of the leader. */
  readonly epoch: number;
  /** Process that is to send it: clocks of two processes can't be compared. */
  readonly process: string;
  /** Latest time by that process's clock at which it is sent. */
  readonly sendBy: Instant;
  readonly worker: WorkerAddress;
  readonly order: Omit<StartOrder, 'payload'>;
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
export type RelayAnswer = PeerProcess &
  (
    | { readonly kind: 'sent'; readonly result: OrderResult }
    /** Nothing was sent, nor will be. */
    | { readonly kind: 'refused'; readonly why: RelayRefusal }
  );

/** An answer, or how the call failed: with `unknown` the start may have been sent, or may still be. */
export type RelayResult =
  | RelayAnswer
  | {
      readonly kind: 'failed';
      readonly outcome: 'not_run' | 'unknown';
      readonly reason: string;
    };

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
  /** Has the host at `address` send a start to a worker. */
  relay(address: string, start: RelayedStart): Promise<RelayResult>;
}
