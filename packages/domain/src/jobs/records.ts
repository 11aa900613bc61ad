/**
 * Records of the two streams from which the state of jobs is folded.
 *
 * The inbox holds what callers asked for; any entry host appends to it. The journal holds the
 * leader's decisions; the log refuses it to any other host.
 */
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
      /** Wall-clock time at the host that accepted it. */
      readonly atWall: Instant;
    }
  | { readonly kind: 'cancel'; readonly job: string }
  /** A host with this many processors offers to stand by for the leader. */
  | {
      readonly kind: 'volunteer';
      readonly host: string;
      readonly cores: number;
      /** Where other hosts reach it; undefined where its version does not say. */
      readonly address: string | undefined;
    };

/** How a run ended; `void` means that it never began. */
export type RunEnd =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'void';

/**
 * What a leader tells of the ends of leases, as time that is left when the record is written,
 * never less than there is. Leaders that are not named, but for later ones, have none that holds.
 */
export interface LeaseHandover {
  /** Leaders by epoch; the writer's own are those that it may give until its next record. */
  readonly epochs: readonly (readonly [epoch: number, leftMs: number])[];
  /** Ids of workers with open runs that do not answer the writer, which no longer extends their leases. */
  readonly workers: readonly (readonly [worker: string, leftMs: number])[];
}

/** A record of the journal. */
export type JournalRecord =
  | {
      readonly kind: 'claim';
      readonly epoch: number;
      readonly host: string;
      /** Tells two claims of one epoch apart. */
      readonly nonce: number;
    }
  /** The leader of an epoch is there; says again what its claim said. */
  | {
      readonly kind: 'heartbeat';
      readonly epoch: number;
      readonly host: string;
      readonly nonce: number;
      /** Undefined where the leader may not know of all earlier ones. */
      readonly handed: LeaseHandover | undefined;
      /** Hosts that are to read the journal and to stand by; undefined while all may. */
      readonly standbys: readonly string[] | undefined;
      /** Where the leader takes records for the inbox. */
      readonly address: string;
      /** How long it has led; undefined where its version does not say. */
      readonly ledForMs: Millis | undefined;
      /** Time between the last leader's newest heartbeat and the moment from which it counts that. */
      readonly silence: SpanBounds;
    }
  | { readonly kind: 'restate'; readonly image: JobImage }
  /** The leader asks to be replaced. */
  | {
      readonly kind: 'release';
      /** Time by which all leases have ended that it has given or will give; undefined if it does not say. */
      readonly heldMs: number | undefined;
    }
  /** What the leader has learnt so far; the newest one counts. */
  | { readonly kind: 'learnt'; readonly learnt: LearnedEstimates }
  /** The leader has reached the worker with this id and may extend its lease from now on. */
  | { readonly kind: 'reached'; readonly worker: string }
  /** A worker is known to have begun a run of the job, the first one that is. */
  | { readonly kind: 'begun'; readonly job: string }
  | {
      readonly kind: 'start';
      readonly task: TaskRef;
      readonly run: number;
      /** Incarnation that it was meant for. */
      readonly worker: string;
    }
  /** An open run has begun at a later incarnation of its worker, as an order that comes late does. */
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
      /** Newest checkpoint of the run; empty when there is none. */
      readonly checkpoint: string;
    }
  /** A run has ended with its worker, which is gone or may be. */
  | {
      readonly kind: 'lost';
      readonly task: TaskRef;
      readonly run: number;
      readonly checkpoint: string;
      readonly suspicion: Suspicion;
      /** How long it had been at work. */
      readonly age: SpanBounds;
    };
