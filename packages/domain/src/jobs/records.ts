/**
 * Records of the two streams from which the state of jobs is built.
 *
 * The inbox holds the requests of callers, and any entry host may append to it. The journal holds the
 * decisions of the leader, and the log rejects appends to it from any other host.
 */
import type { AdmissionLimits } from './admission.js';
import type { Instant, Millis, SpanBounds } from '../core/time.js';
import type { LearnedEstimates } from './learned-estimates.js';
import type { Suspicion } from './loss.js';
import type { JobImage } from './restate.js';
import type { JobSpec } from './spec.js';
import type { TaskRef } from './task-ref.js';

/** A record of the inbox. */
export type InboxRecord =
  | {
      readonly kind: 'submit';
      readonly job: JobSpec;
      /** Wall-clock time on the host that accepted the job. */
      readonly atWall: Instant;
    }
  | { readonly kind: 'cancel'; readonly job: string }
  /** A host with this many processors offers to be a standby of the leader. */
  | {
      readonly kind: 'volunteer';
      readonly host: string;
      readonly cores: number;
      /** Address at which other hosts reach it; undefined if its version does not report one. */
      readonly address: string | undefined;
    };

/**
 * How a run ended. `lapsed`: its lease expired; `broken`: another member of its gang ended early; `alone`:
 * the other members of its gang did not start in time; `void`: it never started.
 */
export const RUN_ENDS = [
  'done',
  'failed',
  'stopped',
  'lapsed',
  'broken',
  'alone',
  'void',
] as const;

/** One of `RUN_ENDS`. */
export type RunEnd = (typeof RUN_ENDS)[number];

/** Returns how a run ended; an unknown end counts as `stopped`, which is neither done nor an attempt. */
export function parseRunEnd(how: unknown): RunEnd {
  return RUN_ENDS.find(known => known === how) ?? 'stopped';
}

/**
 * Remaining times of leases as a leader reports them in its heartbeats: upper bounds at the time of writing.
 * No lease of an earlier leader that is not listed is still valid.
 */
export interface LeaseHandover {
  /** By epoch of the leader; the writer's own entry covers leases it may grant before its next record. */
  readonly epochs: readonly (readonly [epoch: number, leftMs: number])[];
  /** By id of a worker with open runs that does not answer the writer, which no longer extends its leases. */
  readonly workers: readonly (readonly [worker: string, leftMs: number])[];
}

/** A record of the journal. */
export type JournalRecord =
  | {
      readonly kind: 'claim';
      readonly epoch: number;
      readonly host: string;
      /** Distinguishes two claims of the same epoch. */
      readonly nonce: number;
    }
  /** The leader of an epoch is alive; repeats the fields of its claim. */
  | {
      readonly kind: 'heartbeat';
      readonly epoch: number;
      readonly host: string;
      readonly nonce: number;
      /** Undefined if the leader may not know the leases of all earlier leaders. */
      readonly handed: LeaseHandover | undefined;
      /** Hosts that read the journal as standbys; undefined while every host may. */
      readonly standbys: readonly string[] | undefined;
      /** Address at which the leader accepts records for the inbox. */
      readonly address: string;
      /** How long it has led; undefined if its version does not report this. */
      readonly ledForMs: Millis | undefined;
      /** Time between the previous leader's newest heartbeat and the moment at which `ledForMs` was 0. */
      readonly silence: SpanBounds;
      /** Absent in records of earlier versions. */
      readonly limits?: AdmissionLimits;
      /**
       * Offset in the inbox of the first submission that no leader may have known at about the heartbeat before this
       * one; absent in records of earlier versions.
       */
      readonly inboxUpTo?: number;
      /** Whether other hosts call workers for the leader; absent if they do not. */
      readonly usesProxies?: boolean;
    }
  | { readonly kind: 'restate'; readonly image: JobImage }
  /** The leader asks to be replaced. */
  | {
      readonly kind: 'release';
      /** Time until every lease that it has granted or will grant has expired; undefined if not reported. */
      readonly heldMs: number | undefined;
    }
  /** The estimates that the leader has learned so far; the newest record replaces earlier ones. */
  | { readonly kind: 'learnt'; readonly learnt: LearnedEstimates }
  /** The leader has reached the worker with this id and may extend its lease from now on. */
  | {
      readonly kind: 'reached';
      readonly worker: string;
      /** Its incarnation; absent in records of earlier versions. */
      readonly incarnation?: string;
    }
  /** A worker has confirmed the start of a run of the job for the first time. */
  | { readonly kind: 'begun'; readonly job: string }
  | {
      readonly kind: 'start';
      readonly task: TaskRef;
      readonly run: number;
      /** Incarnation to which the start command was addressed. */
      readonly worker: string;
    }
  /** An open run has started at a later incarnation of its worker because its start command was delayed. */
  | {
      readonly kind: 'moved';
      readonly task: TaskRef;
      readonly run: number;
      readonly worker: string;
    }
  | {
      readonly kind: 'end';
      readonly task: TaskRef;
      readonly run: number;
      readonly how: RunEnd;
      /** Newest checkpoint of the run; empty if there is none. */
      readonly checkpoint: string;
    }
  /** A run has ended because its worker was lost or may have been. */
  | {
      readonly kind: 'lost';
      readonly task: TaskRef;
      readonly run: number;
      readonly checkpoint: string;
      readonly suspicion: Suspicion;
      /** Age of the run when the worker was lost. */
      readonly age: SpanBounds;
      /** Probability of losing a healthy worker while a run settles; absent in records of earlier versions. */
      readonly noise?: number;
      /** Share of the workers with other jobs that were lost at the same time; absent if 0. */
      readonly concurrentShare?: number;
    }
  /**
   * A task is abandoned: these workers were lost while running it, so that their losses count less for other
   * tasks. Readers that know the task have concluded as much from its losses.
   */
  | {
      readonly kind: 'abandoned';
      readonly task: TaskRef;
      readonly workers: readonly string[];
    };
