/**
 * What callers are told of jobs, as the leader sums it up in a stream of its own: a row when a job is
 * accepted, has begun and is over. Hosts that don't stand by to lead read this in place of the journal.
 *
 * A job of 80 tasks has 160 and more records of 60 bytes in the journal and three rows of 25 bytes here.
 */
import type { Instant } from '../core/time.js';
import {
  reportedStateOf,
  type FailureReason,
  type Job,
  type JobState,
  type JobStatus,
} from './job.js';
import { parseRow } from './record-rows.js';

/** A job's newest status: the queue is told while it waits, the reason once it has failed. */
export type SummaryRow =
  | readonly [job: string, status: JobStatus]
  | readonly [job: string, status: JobStatus, queue: string]
  | readonly [
      job: string,
      status: 'failed',
      queue: undefined,
      failure: FailureReason,
    ];

/** A record of the summary, or of the snapshots from which a reader begins. */
export type SummaryRecord =
  /** Who leads, and who stands by. */
  | {
      readonly kind: 'leads';
      readonly epoch: number;
      readonly host: string;
      /** Where the leader takes records for the inbox. */
      readonly address: string;
      readonly standbys: readonly string[];
    }
  | {
      readonly kind: 'rows';
      /** All that the inbox holds before this position is summed up. */
      readonly inboxUpTo: number;
      readonly rows: readonly SummaryRow[];
    }
  /** Part of all that the summary says before `summaryUpTo`. */
  | {
      readonly kind: 'snapshot';
      readonly part: number;
      readonly parts: number;
      readonly summaryUpTo: number;
      readonly inboxUpTo: number;
      readonly rows: readonly SummaryRow[];
    };

type WireRecord =
  | ['l', number, string, string, readonly string[]]
  | ['r', number, readonly WireRow[]]
  | ['s', number, number, number, number, readonly WireRow[]];

type WireRow = readonly [
  string,
  keyof typeof STATUSES,
  (string | null)?,
  FailureReason?,
];

/** One letter a status: rows are most of the stream. */
const STATUSES = {
  q: 'queued',
  r: 'running',
  c: 'completed',
  f: 'failed',
  x: 'cancelled',
} as const satisfies Record<string, JobStatus>;

const LETTERS: Readonly<Record<JobStatus, keyof typeof STATUSES>> = {
  queued: 'q',
  running: 'r',
  completed: 'c',
  failed: 'f',
  cancelled: 'x',
};

const encoder = new TextEncoder();

/** Returns the row of a job as its state is now. */
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

/** Decodes what `encodeSummary` made; undefined for anything else. */
export function decodeSummary(bytes: Uint8Array): SummaryRecord | undefined {
  const row = parseRow(bytes) as WireRecord | undefined;
  switch (row?.[0]) {
    case 'l': {
      const [, epoch, host, address, standbys] = row;
      return { kind: 'leads', epoch, host, address, standbys };
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
    case 'leads':
      return ['l', record.epoch, record.host, record.address, record.standbys];
    case 'rows':
      return ['r', record.inboxUpTo, record.rows.map(toWireRow)];
    case 'snapshot': {
      const { part, parts, summaryUpTo, inboxUpTo, rows } = record;
      return ['s', part, parts, summaryUpTo, inboxUpTo, rows.map(toWireRow)];
    }
  }
}

function toWireRow([job, status, queue, failure]: SummaryRow): WireRow {
  const letter = LETTERS[status];
  if (failure !== undefined) {
    return [job, letter, null, failure];
  }
  return queue === undefined ? [job, letter] : [job, letter, queue];
}

function fromWire([job, letter, queue, failure]: WireRow): SummaryRow {
  const status = STATUSES[letter];
  if (status === 'failed' && failure !== undefined) {
    return [job, status, undefined, failure];
  }
  return typeof queue === 'string' ? [job, status, queue] : [job, status];
}

interface SummedJob {
  readonly row: SummaryRow;
  /** Queue in which it waits; undefined once it has begun or is over. */
  readonly queue: string | undefined;
  /** Monotonic time at which it was learnt to be over; infinite before. */
  readonly overAt: Instant;
}

/** The newest row of each job. */
export class Summary {
  /** All that the inbox holds before this position is summed up. */
  inboxUpTo = 0;
  private readonly jobs = new Map<string, SummedJob>();
  private readonly waiting = new Map<string, number>();

  /** Number of jobs that are not over. */
  get open(): number {
    let count = 0;
    for (const { overAt } of this.jobs.values()) {
      count += Number(overAt === Infinity);
    }
    return count;
  }

  /** Takes in rows that were read at `now`. */
  apply(rows: readonly SummaryRow[], now: Instant): void {
    for (const row of rows) {
      this.set(row, now);
    }
  }

  /** A job's newest status; undefined for one that is not known. */
  statusOf(job: string): JobStatus | undefined {
    return this.stateOf(job)?.status;
  }

  /** What callers are told of a job; undefined for one that is not known. */
  stateOf(job: string): JobState | undefined {
    const [, status, , failure] = this.jobs.get(job)?.row ?? [];
    if (status === undefined) {
      return undefined;
    }
    return failure === undefined ? { status } : { status, failure };
  }

  /** Number of jobs that wait in a queue. */
  waitingIn(queue: string): number {
    return this.waiting.get(queue) ?? 0;
  }

  /** All rows, as a reader that begins anew needs them. */
  rows(): SummaryRow[] {
    return [...this.jobs.values()].map(({ row }) => row);
  }

  /** Forgets jobs that were over before `since`. */
  forgetFinishedJobs(since: Instant): void {
    for (const [job, { overAt }] of this.jobs) {
      if (overAt < since) {
        this.jobs.delete(job);
      }
    }
  }

  private set(row: SummaryRow, now: Instant): void {
    const [job, status, queue] = row;
    const known = this.jobs.get(job);
    this.count(known?.queue, -1);
    this.count(queue, 1);
    const isOver = status !== 'queued' && status !== 'running';
    const overAt = isOver ? Math.min(now, known?.overAt ?? now) : Infinity;
    this.jobs.set(job, { row, queue, overAt });
  }

  private count(queue: string | undefined, by: 1 | -1): void {
    if (queue !== undefined) {
      this.waiting.set(queue, this.waitingIn(queue) + by);
    }
  }
}
