/**
 * Records of the two streams from which the state of jobs is folded.
 *
 * The inbox holds what callers asked for; any entry host appends to it. The journal holds the
 * leader's decisions; the log refuses it to any other host.
 */
import type { Instant, Millis } from '../core/time.js';
import { SUSPICIONS, type Suspicion } from './blame.js';
import type { Learnt } from './learnt.js';
import type { JobImage } from './restate.js';
import type { JobSpec } from './spec.js';
import { parseTaskName, taskName, type TaskRef } from './task-ref.js';

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
    };

/** How a run ended; `void` means that it never began. */
export type RunEnd =
  'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'void';

/**
 * What a leader tells of the ends of leases, as time that is left when the record is written,
 * never less than there is. Leaders that are not named, but for later ones, have none that holds.
 */
export interface HandedLeases {
  /** Leaders by epoch; the writer's own are those that it may give until its next record. */
  readonly epochs: readonly (readonly [epoch: number, leftMs: number])[];
  /** Workers with open runs that do not answer the writer, which no longer extends their leases. */
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
      readonly handed: HandedLeases | undefined;
      /** Hosts that are to read the journal and to stand by; undefined while all may. */
      readonly standbys: readonly string[] | undefined;
      /** Where the leader takes records for the inbox. */
      readonly address: string;
      /** How long it has led; undefined where its version does not say. */
      readonly ledForMs: Millis | undefined;
    }
  | { readonly kind: 'restate'; readonly image: JobImage }
  /** The leader asks to be replaced. */
  | {
      readonly kind: 'release';
      /** Time by which all leases have ended that it has given or will give; undefined if it does not say. */
      readonly heldMs: number | undefined;
    }
  /** What the leader has learnt so far; the newest one counts. */
  | { readonly kind: 'learnt'; readonly learnt: Learnt }
  /** The leader has reached a worker and may extend its lease from now on. */
  | { readonly kind: 'reached'; readonly worker: string }
  /** A worker is known to have begun a run of the job, the first one that is. */
  | { readonly kind: 'begun'; readonly job: string }
  | {
      readonly kind: 'start';
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
    };

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Encodes a record of either stream. */
export function encodeRecord(record: InboxRecord | JournalRecord): Uint8Array {
  return encoder.encode(JSON.stringify(toRow(record)));
}

/**
 * Decodes a record of the inbox that `encodeRecord` made; undefined for any other, as a later version may
 * write: one of these must not end a host that reads it.
 */
export function decodeInbox(bytes: Uint8Array): InboxRecord | undefined {
  const row = parseRow(bytes) as InboxRow | undefined;
  switch (row?.[0]) {
    case 'submit':
      return isJob(row[1])
        ? { kind: 'submit', job: row[1], atWall: row[2] }
        : undefined;
    case 'cancel':
      return { kind: 'cancel', job: row[1] };
    case 'volunteer':
      return { kind: 'volunteer', host: row[1], cores: row[2] };
    case undefined:
    // A kind that this version does not know.
    default:
      return undefined;
  }
}

type InboxRow =
  | ['submit', JobSpec, Instant]
  | ['cancel', string]
  | ['volunteer', string, number];

/** Returns the row of a record; undefined for what is not one. */
export function parseRow(bytes: Uint8Array): unknown {
  try {
    const row: unknown = JSON.parse(decoder.decode(bytes));
    return Array.isArray(row) ? row : undefined;
  } catch {
    return undefined;
  }
}

/** Whether what stands for a job has the parts that its fold reads. */
function isJob(job: Partial<JobSpec> | null | undefined): job is JobSpec {
  return (
    typeof job?.id === 'string' &&
    Array.isArray(job.steps) &&
    typeof job.terms === 'object'
  );
}

/** Rows of the journal; runs are most of them, so that these have short tags. */
type JournalRow =
  | ['claim', number, string, number]
  | [
      'heartbeat',
      number,
      string,
      number,
      unknown,
      (readonly string[] | null)?,
      string?,
      (HandedLeases | null)?,
      Millis?,
    ]
  | ['restate', JobImage]
  | ['release', unknown]
  | ['learnt', Learnt]
  | ['reached', string]
  | ['b', string]
  | ['s', unknown, number, string]
  | ['e', unknown, number, RunEnd, string?, LapseCause?];

/**
 * What a row says of a lease that has lapsed: how far the run may be to blame for the loss of its worker,
 * or that the worker is there. An earlier version, which does not say, reads all of them as lapsed.
 */
type LapseCause = Suspicion | typeof WORKER_THERE;

const WORKER_THERE = 'there';

/** Decodes a record of the journal that `encodeRecord` made; undefined for any other. */
export function decodeJournal(bytes: Uint8Array): JournalRecord | undefined {
  const row = parseRow(bytes) as JournalRow | undefined;
  switch (row?.[0]) {
    case 'claim': {
      const [, epoch, host, nonce] = row;
      return { kind: 'claim', epoch, host, nonce };
    }
    case 'heartbeat': {
      const [, epoch, host, nonce, , named, address = '', handed, ledForMs] =
        row;
      const standbys = named ?? undefined;
      return {
        kind: 'heartbeat',
        epoch,
        host,
        nonce,
        handed: handedOf(handed),
        standbys,
        address,
        ledForMs: typeof ledForMs === 'number' ? ledForMs : undefined,
      };
    }
    case 'restate':
      return isImage(row[1]) ? { kind: 'restate', image: row[1] } : undefined;
    case 'release':
      return {
        kind: 'release',
        heldMs: typeof row[1] === 'number' ? row[1] : undefined,
      };
    case 'learnt':
      return { kind: 'learnt', learnt: row[1] };
    case 'reached':
      return { kind: 'reached', worker: row[1] };
    case 'b':
      return { kind: 'begun', job: row[1] };
    case 's': {
      const [, name, run, worker] = row;
      return { kind: 'start', task: parseTaskName(name), run, worker };
    }
    case 'e': {
      const [, name, run, how, checkpoint = '', cause] = row;
      const task = parseTaskName(name);
      if (how !== 'lapsed' || cause === WORKER_THERE) {
        return { kind: 'end', task, run, how, checkpoint };
      }
      // Where an earlier version led, or a later one says more, the worker may have been lost.
      const suspicion = SUSPICIONS.find(known => known === cause) ?? 'doubtful';
      return { kind: 'lost', task, run, checkpoint, suspicion };
    }
    case undefined:
    // A kind that this version does not know.
    default:
      return undefined;
  }
}

/** Where hosts of an earlier version read the ages of claims: without any they wait the longest. */
const OLD_AGES: readonly never[] = [];

/** Returns what a leader handed on; undefined for one that said nothing that can be read. */
function handedOf(
  handed: Partial<HandedLeases> | null | undefined,
): HandedLeases | undefined {
  const { epochs, workers } = handed ?? {};
  return isRows(epochs) && isRows(workers) ? { epochs, workers } : undefined;
}

/** Whether these are pairs of a key and a time that is left. */
function isRows<T>(rows: readonly T[] | undefined): rows is readonly T[] {
  return (
    Array.isArray(rows) &&
    rows.every(row => Array.isArray(row) && Number.isFinite(row[1]))
  );
}

function isImage(
  image: Partial<JobImage> | null | undefined,
): image is JobImage {
  return isJob(image?.spec) && Array.isArray(image.occurrences);
}

function toRow(record: InboxRecord | JournalRecord): unknown[] {
  switch (record.kind) {
    case 'submit':
      return ['submit', record.job, record.atWall];
    case 'cancel':
      return ['cancel', record.job];
    case 'volunteer':
      return ['volunteer', record.host, record.cores];
    case 'claim': {
      const { epoch, host, nonce } = record;
      return ['claim', epoch, host, nonce];
    }
    case 'heartbeat': {
      const { epoch, host, nonce, standbys, address, handed, ledForMs } =
        record;
      const named = standbys ?? null;
      return [
        'heartbeat',
        epoch,
        host,
        nonce,
        OLD_AGES,
        named,
        address,
        handed,
        ledForMs,
      ];
    }
    case 'restate':
      return ['restate', record.image];
    case 'release':
      return ['release', record.heldMs];
    case 'learnt':
      return ['learnt', record.learnt];
    case 'reached':
      return ['reached', record.worker];
    case 'begun':
      return ['b', record.job];
    case 'start':
      return ['s', taskName(record.task), record.run, record.worker];
    case 'end': {
      const { task, run, how, checkpoint } = record;
      const row = ['e', taskName(task), run, how];
      if (how === 'lapsed') {
        return [...row, checkpoint, WORKER_THERE];
      }
      return checkpoint === '' ? row : [...row, checkpoint];
    }
    case 'lost': {
      const { task, run, checkpoint, suspicion } = record;
      return ['e', taskName(task), run, 'lapsed', checkpoint, suspicion];
    }
  }
}
