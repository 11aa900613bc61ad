/** Encoding of the records of both streams as rows in the log, compatible with other versions. */
import {
  NO_LIMITS,
  type AdmissionLimits,
  type WorkerKind,
} from './admission.js';
import type { StartDelays } from './start-delay.js';
import type { Instant, Millis } from '../core/time.js';
import {
  incarnationOf,
  isStartTime,
  startTimeOf,
  workerIdOf,
} from './incarnation.js';
import { parseEstimates, type LearnedEstimates } from './learned-estimates.js';
import { SUSPICIONS, type Suspicion } from './loss.js';
import {
  parseRunEnd,
  type LeaseHandover,
  type InboxRecord,
  type JournalRecord,
} from './records.js';
import type { JobImage } from './restate.js';
import { parseCapacityRows, capacityColumns } from './capacity-rows.js';
import { parseSpan, spanRow, type SpanRow } from './span-rows.js';
import type { JobSpec } from './spec.js';
import { parseTaskName, taskName } from './task-ref.js';

const encoder = new TextEncoder();
const decoder = new TextDecoder();

/** Encodes a record of either stream. */
export function encodeRecord(record: InboxRecord | JournalRecord): Uint8Array {
  return encoder.encode(JSON.stringify(toRow(record)));
}

/**
 * Decodes a record of the inbox made by `encodeRecord`. Returns undefined for any other bytes: a record of a
 * later version must not crash the host that reads it.
 */
export function decodeInbox(bytes: Uint8Array): InboxRecord | undefined {
  const row = parseRow(bytes) as InboxRow | undefined;
  switch (row?.[0]) {
    case 'submit':
      return isJobSpec(row[1])
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

/** Parses the row of a record; returns undefined if the bytes are not a row. */
export function parseRow(bytes: Uint8Array): unknown {
  try {
    const row: unknown = JSON.parse(decoder.decode(bytes));
    return Array.isArray(row) ? row : undefined;
  } catch {
    return undefined;
  }
}

/** Tells whether a value has the fields of a job that are read when the record is applied. */
function isJobSpec(job: Partial<JobSpec> | null | undefined): job is JobSpec {
  return (
    typeof job?.id === 'string' &&
    Array.isArray(job.steps) &&
    typeof job.terms === 'object'
  );
}

/** Rows of the journal. Most of them are about runs and therefore have short tags. */
type JournalRow =
  | ['claim', number, string, number]
  | HeartbeatRow
  | ['restate', JobImage]
  | ['release', unknown]
  | ['learnt', LearnedEstimates]
  | ['reached', string, string?]
  | ['b', string]
  | ['a', unknown, unknown]
  | ['s' | 'm', unknown, number, unknown, unknown?]
  | EndRow;

type Heartbeat = Extract<JournalRecord, { kind: 'heartbeat' }>;

type HeartbeatRow = [
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
  StartDelays?,
  (readonly WorkerKind[])?,
  unknown?,
  unknown?,
  unknown?,
];

type EndRow = [
  'e',
  unknown,
  number,
  unknown,
  string?,
  ExpiryCause?,
  unknown?,
  unknown?,
  unknown?,
  unknown?,
];

/**
 * Why a lease has expired: the suspicion that the run caused the loss of its worker, or that the worker is
 * still present. An earlier version has no such column and reads all of these rows as expired leases.
 */
type ExpiryCause = Suspicion | typeof WORKER_PRESENT;

const WORKER_PRESENT = 'there';

/** Returns the columns that not every heartbeat has. Readers of earlier versions find the rows where they were. */
function lastColumns(
  { rooms }: AdmissionLimits,
  { inboxUpTo, usesProxies }: Pick<Heartbeat, 'inboxUpTo' | 'usesProxies'>,
): unknown[] {
  const [room = null] = capacityColumns(rooms);
  if (usesProxies === true) {
    return [room, inboxUpTo ?? null, true];
  }
  if (inboxUpTo !== undefined) {
    return [room, inboxUpTo];
  }
  return room === null ? [] : [room];
}

function heartbeatOf([
  ,
  epoch,
  host,
  nonce,
  ,
  hosts,
  address = '',
  ...more
]: HeartbeatRow): JournalRecord {
  const [handed, ledForMs, silence = [], startDelays, evacuatedKinds, ...rest] =
    more;
  const [rooms, inboxUpTo, usesProxies] = rest;
  return {
    kind: 'heartbeat',
    epoch,
    host,
    nonce,
    handed: parseHandover(handed),
    standbys: hosts ?? undefined,
    address,
    ledForMs: typeof ledForMs === 'number' ? ledForMs : undefined,
    silence: parseSpan(...silence),
    limits: {
      startDelays: startDelays ?? [],
      evacuatedKinds: evacuatedKinds ?? [],
      rooms: parseCapacityRows(rooms),
      roomsUntil: -Infinity,
    },
    ...(typeof inboxUpTo === 'number' ? { inboxUpTo } : {}),
    ...(usesProxies === true ? { usesProxies } : {}),
  };
}

/** Decodes a record of the journal made by `encodeRecord`; returns undefined for any other bytes. */
export function decodeJournal(bytes: Uint8Array): JournalRecord | undefined {
  const row = parseRow(bytes) as JournalRow | undefined;
  switch (row?.[0]) {
    case 'claim': {
      const [, epoch, host, nonce] = row;
      return { kind: 'claim', epoch, host, nonce };
    }
    case 'heartbeat':
      return heartbeatOf(row);
    case 'restate':
      return isImage(row[1]) ? { kind: 'restate', image: row[1] } : undefined;
    case 'release':
      return {
        kind: 'release',
        heldMs: typeof row[1] === 'number' ? row[1] : undefined,
      };
    case 'learnt':
      return { kind: 'learnt', learnt: parseEstimates(row[1]) };
    case 'reached':
      return {
        kind: 'reached',
        worker: row[1],
        ...(row[2] === undefined ? {} : { incarnation: row[2] }),
      };
    case 'b':
      return { kind: 'begun', job: row[1] };
    case 'a': {
      const [, name, workers] = row;
      return Array.isArray(workers)
        ? { kind: 'abandoned', task: parseTaskName(name), workers }
        : undefined;
    }
    case 's':
    case 'm': {
      const [tag, name, run, id, startedAt] = row;
      if (typeof id !== 'string') {
        return undefined;
      }
      const task = parseTaskName(name);
      // A leader of an earlier version does not record the incarnation.
      const worker = incarnationOf(
        id,
        isStartTime(startedAt) ? startedAt : undefined,
      );
      return { kind: tag === 's' ? 'start' : 'moved', task, run, worker };
    }
    case 'e':
      return decodeEnd(row);
    case undefined:
    // A kind that this version does not know.
    default:
      return undefined;
  }
}

/** Decodes the end of a run. */
function decodeEnd(row: EndRow): JournalRecord {
  const [, name, run, found, checkpoint = '', cause, ...more] = row;
  const [from, to, noise, concurrentShare] = more;
  const how = parseRunEnd(found);
  const task = parseTaskName(name);
  if (how !== 'lapsed' || cause === WORKER_PRESENT) {
    return { kind: 'end', task, run, how, checkpoint };
  }
  // The worker may have been lost: earlier versions record no cause, later ones perhaps an unknown one.
  const suspicion = SUSPICIONS.find(known => known === cause) ?? 'doubtful';
  const lost = { task, run, checkpoint, suspicion };
  const age = parseSpan(from, to);
  const loss = { kind: 'lost', ...lost, age } as const;
  return {
    ...loss,
    ...(typeof noise === 'number' && noise > 0 ? { noise } : {}),
    ...(typeof concurrentShare === 'number' ? { concurrentShare } : {}),
  };
}

/** Column from which earlier versions read the ages of claims; if it is empty, they wait the longest. */
const LEGACY_CLAIM_AGES: readonly never[] = [];

/** Returns the lease times that a leader handed over; undefined if there are none or they are invalid. */
function parseHandover(
  handed: Partial<LeaseHandover> | null | undefined,
): LeaseHandover | undefined {
  const { epochs, workers } = handed ?? {};
  return isPairs(epochs) && isPairs(workers) ? { epochs, workers } : undefined;
}

/** Tells whether the rows are pairs of a key and a remaining time. */
function isPairs<T>(rows: readonly T[] | undefined): rows is readonly T[] {
  return (
    Array.isArray(rows) &&
    rows.every(row => Array.isArray(row) && Number.isFinite(row[1]))
  );
}

function isImage(
  image: Partial<JobImage> | null | undefined,
): image is JobImage {
  return isJobSpec(image?.spec) && Array.isArray(image.occurrences);
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
      const { handed, ledForMs, silence, limits = NO_LIMITS } = record;
      const hosts = standbys ?? null;
      return [
        'heartbeat',
        epoch,
        host,
        nonce,
        LEGACY_CLAIM_AGES,
        hosts,
        address,
        handed,
        ledForMs,
        spanRow(silence),
        limits.startDelays,
        limits.evacuatedKinds,
        ...lastColumns(limits, record),
      ];
    }
    case 'restate':
      return ['restate', record.image];
    case 'release':
      return ['release', record.heldMs];
    case 'learnt':
      return ['learnt', record.learnt];
    case 'reached':
      return record.incarnation === undefined
        ? ['reached', record.worker]
        : ['reached', record.worker, record.incarnation];
    case 'begun':
      return ['b', record.job];
    case 'abandoned':
      return ['a', taskName(record.task), record.workers];
    case 'start':
      return ['s', ...placementRow(record)];
    case 'moved':
      return ['m', ...placementRow(record)];
    case 'end': {
      const { task, run, how, checkpoint } = record;
      const row = ['e', taskName(task), run, how];
      if (how === 'lapsed') {
        return [...row, checkpoint, WORKER_PRESENT];
      }
      return checkpoint === '' ? row : [...row, checkpoint];
    }
    case 'lost': {
      const { task, run, checkpoint, suspicion, age } = record;
      const { noise = 0, concurrentShare = 0 } = record;
      const row = ['e', taskName(task), run, 'lapsed', checkpoint, suspicion];
      const aged = [...row, ...spanRow(age)];
      if (concurrentShare > 0) {
        return [...aged, noise, concurrentShare];
      }
      if (noise > 0) {
        return [...aged, noise];
      }
      return age.from > 0 || age.to < Infinity ? aged : row;
    }
  }
}

/** Encodes the location of a run; an earlier version reads only the worker's id. */
function placementRow({
  task,
  run,
  worker,
}: Extract<JournalRecord, { kind: 'start' | 'moved' }>): unknown[] {
  const row = [taskName(task), run, workerIdOf(worker)];
  const startedAt = startTimeOf(worker);
  return startedAt === undefined ? row : [...row, startedAt];
}
