/**
 * The state of jobs that is reported to callers. The leader writes it to a separate stream, with one row each
 * when a job is accepted, starts and finishes. Hosts that are not standbys read it instead of the journal.
 *
 * A job of 80 tasks has 160 or more records of 60 bytes in the journal, and three rows of 25 bytes here.
 */
import {
  NO_LIMITS,
  type AdmissionLimits,
  type WorkerKind,
} from './admission.js';
import type { StartDelays } from './start-delay.js';
import type { Instant } from '../core/time.js';
import {
  reportedStateOf,
  type FailureReason,
  type Job,
  type JobState,
  type JobStatus,
} from './job.js';
import { parseRow } from './record-rows.js';
import { parseCapacityRows, capacityColumns } from './capacity-rows.js';

/** The newest status of a job, with its queue while it waits and the reason once it has failed. */
export type SummaryRow =
  | readonly [job: string, status: JobStatus]
  | readonly [job: string, status: JobStatus, queue: string]
  | readonly [
      job: string,
      status: 'failed',
      queue: undefined,
      failure: FailureReason,
    ];

/** A record of the summary, or of the snapshots from which a new reader starts. */
export type SummaryRecord =
  /** The leader and its standbys. */
  | {
      readonly kind: 'leads';
      readonly epoch: number;
      readonly host: string;
      /** Address at which the leader accepts records for the inbox. */
      readonly address: string;
      readonly standbys: readonly string[];
      /** Absent in records of earlier versions. */
      readonly limits?: AdmissionLimits;
    }
  | {
      readonly kind: 'rows';
      /** Offset in the inbox before which all records are summarized. */
      readonly inboxUpTo: number;
      readonly rows: readonly SummaryRow[];
    }
  /** Part of a snapshot of the summary before the offset `summaryUpTo`. */
  | {
      readonly kind: 'snapshot';
      readonly part: number;
      readonly parts: number;
      readonly summaryUpTo: number;
      readonly inboxUpTo: number;
      readonly rows: readonly SummaryRow[];
    };

type WireRecord =
  | [
      'l',
      number,
      string,
      string,
      readonly string[],
      StartDelays?,
      (readonly WorkerKind[])?,
      unknown?,
    ]
  | ['r', number, readonly WireRow[]]
  | ['s', number, number, number, number, readonly WireRow[]];

type WireRow = readonly [
  string,
  keyof typeof STATUS_BY_LETTER,
  (string | null)?,
  FailureReason?,
];

/** Statuses are encoded as one letter, since rows make up most of the stream. */
const STATUS_BY_LETTER = {
  q: 'queued',
  r: 'running',
  c: 'completed',
  f: 'failed',
  x: 'cancelled',
} as const satisfies Record<string, JobStatus>;

const LETTER_BY_STATUS: Readonly<
  Record<JobStatus, keyof typeof STATUS_BY_LETTER>
> = {
  queued: 'q',
  running: 'r',
  completed: 'c',
  failed: 'f',
  cancelled: 'x',
};

const encoder = new TextEncoder();

/** Returns the row for the current state of a job. */
export function summaryRowOf(job: Job): SummaryRow {
  const { status, failure } = reportedStateOf(job);
  const { id, terms } = job.spec;
  if (status === 'failed' && failure !== undefined) {
    return [id, status, undefined, failure];
  }
  return status === 'queued' ? [id, status, terms.queue] : [id, status];
}

/** Encodes a record of the summary. */
export function encodeSummary(record: SummaryRecord): Uint8Array {
  return encoder.encode(JSON.stringify(toWire(record)));
}

/** Decodes a record made by `encodeSummary`; returns undefined for any other bytes. */
export function decodeSummary(bytes: Uint8Array): SummaryRecord | undefined {
  const row = parseRow(bytes) as WireRecord | undefined;
  switch (row?.[0]) {
    case 'l': {
      const [, epoch, host, address, standbys, ...more] = row;
      const [startDelays = [], evacuatedKinds = [], column] = more;
      const rooms = parseCapacityRows(column);
      const roomsUntil = -Infinity;
      const limits = { startDelays, evacuatedKinds, rooms, roomsUntil };
      return { kind: 'leads', epoch, host, address, standbys, limits };
    }
    case 'r': {
      const [, inboxUpTo, rows] = row;
      return { kind: 'rows', inboxUpTo, rows: rows.map(fromWire) };
    }
    case 's': {
      const [, part, parts, summaryUpTo, inboxUpTo, wire] = row;
      const rows = wire.map(fromWire);
      return { kind: 'snapshot', part, parts, summaryUpTo, inboxUpTo, rows };
    }
    case undefined:
    // A kind that this version does not know.
    default:
      return undefined;
  }
}

function toWire(record: SummaryRecord): WireRecord {
  switch (record.kind) {
    case 'leads': {
      const { epoch, host, address, standbys, limits = NO_LIMITS } = record;
      const { startDelays, evacuatedKinds, rooms } = limits;
      const leader = [epoch, host, address, standbys] as const;
      const column = capacityColumns(rooms);
      return ['l', ...leader, startDelays, evacuatedKinds, ...column];
    }
    case 'rows':
      return ['r', record.inboxUpTo, record.rows.map(toWireRow)];
    case 'snapshot': {
      const { part, parts, summaryUpTo, inboxUpTo, rows } = record;
      return ['s', part, parts, summaryUpTo, inboxUpTo, rows.map(toWireRow)];
    }
  }
}

function toWireRow([job, status, queue, failure]: SummaryRow): WireRow {
  const letter = LETTER_BY_STATUS[status];
  if (failure !== undefined) {
    return [job, letter, null, failure];
  }
  return queue === undefined ? [job, letter] : [job, letter, queue];
}

function fromWire([job, letter, queue, failure]: WireRow): SummaryRow {
  const status = STATUS_BY_LETTER[letter];
  if (status === 'failed' && failure !== undefined) {
    return [job, status, undefined, failure];
  }
  return typeof queue === 'string' ? [job, status, queue] : [job, status];
}

interface SummarizedJob {
  readonly row: SummaryRow;
  /** Queue in which the job waits; undefined once it has started or finished. */
  readonly queue: string | undefined;
  /** Monotonic time at which this host learned that the job is finished; infinite before. */
  readonly finishedAt: Instant;
}

/** The newest row of each job. */
export class Summary {
  /** Offset in the inbox before which all records are summarized. */
  inboxUpTo = 0;
  private readonly jobs = new Map<string, SummarizedJob>();
  private readonly waiting = new Map<string, number>();

  /** Number of jobs that are not finished. */
  get openJobs(): number {
    let count = 0;
    for (const { finishedAt } of this.jobs.values()) {
      count += Number(finishedAt === Infinity);
    }
    return count;
  }

  /** Applies rows that were read at `now`. */
  apply(rows: readonly SummaryRow[], now: Instant): void {
    for (const row of rows) {
      this.setRow(row, now);
    }
  }

  /** Returns the newest status of a job; undefined if the job is unknown. */
  statusOf(job: string): JobStatus | undefined {
    return this.stateOf(job)?.status;
  }

  /** Returns the state of a job as reported to callers; undefined if the job is unknown. */
  stateOf(job: string): JobState | undefined {
    const [, status, , failure] = this.jobs.get(job)?.row ?? [];
    if (status === undefined) {
      return undefined;
    }
    return failure === undefined ? { status } : { status, failure };
  }

  /** Returns the number of jobs that wait in a queue. */
  waitingIn(queue: string): number {
    return this.waiting.get(queue) ?? 0;
  }

  /** Returns all rows, for the snapshot of a new reader. */
  rows(): SummaryRow[] {
    return [...this.jobs.values()].map(({ row }) => row);
  }

  /** Removes jobs that finished before `since`. */
  forgetFinishedJobs(since: Instant): void {
    for (const [job, { finishedAt }] of this.jobs) {
      if (finishedAt < since) {
        this.jobs.delete(job);
      }
    }
  }

  private setRow(row: SummaryRow, now: Instant): void {
    const [job, status, queue] = row;
    const known = this.jobs.get(job);
    this.addWaiting(known?.queue, -1);
    this.addWaiting(queue, 1);
    const isFinished = status !== 'queued' && status !== 'running';
    const finishedAt = isFinished
      ? Math.min(now, known?.finishedAt ?? now)
      : Infinity;
    this.jobs.set(job, { row, queue, finishedAt });
  }

  private addWaiting(queue: string | undefined, by: 1 | -1): void {
    if (queue !== undefined) {
      this.waiting.set(queue, this.waitingIn(queue) + by);
    }
  }
}
