/** Rows in which the records of the streams stand in the log, and what other versions of them mean. */
import type { Instant, Millis } from '../core/time.js';
import {
  incarnationOf,
  isStartTime,
  startTimeOf,
  workerIdOf,
} from './incarnation.js';
import { readLearnt, type LearnedEstimates } from './learned-estimates.js';
import { SUSPICIONS, type Suspicion } from './loss.js';
import type {
  LeaseHandover,
  InboxRecord,
  JournalRecord,
  RunEnd,
} from './records.js';
import type { JobImage } from './restate.js';
import { spanFrom, spanRow, type SpanRow } from './span-rows.js';
import type { JobSpec } from './spec.js';
import { parseTaskName, taskName } from './task-ref.js';

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
      return {
        kind: 'volunteer',
        host: row[1],
        cores: row[2],
        address: row[3] ?? undefined,
      };
    case undefined:
    // A kind that this version does not know.
    default:
      return undefined;
  }
}

type InboxRow =
  | ['submit', JobSpec, Instant]
  | ['cancel', string]
  | ['volunteer', string, number, (string | null)?];

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
      (LeaseHandover | null)?,
      Millis?,
      Partial<SpanRow>?,
    ]
  | ['restate', JobImage]
  | ['release', unknown]
  | ['learnt', LearnedEstimates]
  | ['reached', string]
  | ['b', string]
  | ['s' | 'm', unknown, number, unknown, unknown?]
  | ['e', unknown, number, RunEnd, string?, LapseCause?, unknown?, unknown?];

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
      const [, epoch, host, nonce, , named, address = '', ...more] = row;
      const [handed, ledForMs, silence = []] = more;
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
        silence: spanFrom(...silence),
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
      return { kind: 'learnt', learnt: readLearnt(row[1]) };
    case 'reached':
      return { kind: 'reached', worker: row[1] };
    case 'b':
      return { kind: 'begun', job: row[1] };
    case 's':
    case 'm': {
      const [tag, name, run, id, startedAt] = row;
      if (typeof id !== 'string') {
        return undefined;
      }
      const task = parseTaskName(name);
      // Where an earlier version led, it is not told which incarnation was meant.
      const worker = incarnationOf(
        id,
        isStartTime(startedAt) ? startedAt : undefined,
      );
      return { kind: tag === 's' ? 'start' : 'moved', task, run, worker };
    }
    case 'e': {
      const [, name, run, how, checkpoint = '', cause, from, to] = row;
      const task = parseTaskName(name);
      if (how !== 'lapsed' || cause === WORKER_THERE) {
        return { kind: 'end', task, run, how, checkpoint };
      }
      // Where an earlier version led, or a later one says more, the worker may have been lost.
      const suspicion = SUSPICIONS.find(known => known === cause) ?? 'doubtful';
      const lost = { task, run, checkpoint, suspicion };
      return { kind: 'lost', ...lost, age: spanFrom(from, to) };
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
  handed: Partial<LeaseHandover> | null | undefined,
): LeaseHandover | undefined {
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
      return ['volunteer', record.host, record.cores, record.address];
    case 'claim': {
      const { epoch, host, nonce } = record;
      return ['claim', epoch, host, nonce];
    }
    case 'heartbeat': {
      const { epoch, host, nonce, standbys, address } = record;
      const { handed, ledForMs, silence } = record;
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
        spanRow(silence),
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
      return ['s', ...placeRow(record)];
    case 'moved':
      return ['m', ...placeRow(record)];
    case 'end': {
      const { task, run, how, checkpoint } = record;
      const row = ['e', taskName(task), run, how];
      if (how === 'lapsed') {
        return [...row, checkpoint, WORKER_THERE];
      }
      return checkpoint === '' ? row : [...row, checkpoint];
    }
    case 'lost': {
      const { task, run, checkpoint, suspicion, age } = record;
      const row = ['e', taskName(task), run, 'lapsed', checkpoint, suspicion];
      const isKnown = age.from > 0 || age.to < Infinity;
      return isKnown ? [...row, ...spanRow(age)] : row;
    }
  }
}

/** Where a run is; an earlier version reads the worker's id alone. */
function placeRow({
  task,
  run,
  worker,
}: Extract<JournalRecord, { kind: 'start' | 'moved' }>): unknown[] {
  const row = [taskName(task), run, workerIdOf(worker)];
  const startedAt = startTimeOf(worker);
  return startedAt === undefined ? row : [...row, startedAt];
}
