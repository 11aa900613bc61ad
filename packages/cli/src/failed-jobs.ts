/** Reads the leaders' lines on jobs that have failed. */
import { numberOrUndefined, stringOrEmpty, type LogLine } from './log-lines.js';

/** Message of a leader that has decided that a job has failed. */
const FAILED_MSG = 'leader: a job has failed';

/** A loss of a worker that counted against a task; fields that the line lacks are undefined or empty. */
export interface CountedLoss {
  readonly run: number | undefined;
  readonly worker: string;
  readonly suspicion: string;
  /** How the worker was judged to be lost. */
  readonly lossKind: string;
  readonly reason: string;
  readonly presence: string;
  readonly msAgo: number | undefined;
  readonly othersLost: number | undefined;
  readonly silentWorkers: number | undefined;
}

/** A job that has failed by the line of a leader. */
export interface FailedJob {
  readonly job: string;
  readonly host: string;
  readonly task: string;
  readonly epoch: number | undefined;
  readonly reason: string;
  readonly failures: number;
  readonly maxAttempts: number;
  /** Runs that have failed under this leader. */
  readonly failedRuns: readonly number[];
  readonly losses: readonly CountedLoss[];
}

/** Returns the jobs that have failed, in the order of the lines; one for each leader that decided it. */
export function readFailedJobs(lines: readonly LogLine[]): FailedJob[] {
  return lines.filter(({ msg }) => msg === FAILED_MSG).map(failedJobOf);
}

function failedJobOf({ host, fields }: LogLine): FailedJob {
  return {
    job: stringOrEmpty(fields.job),
    host,
    task: stringOrEmpty(fields.task),
    epoch: numberOrUndefined(fields.epoch),
    reason: stringOrEmpty(fields.reason),
    failures: numberOrUndefined(fields.failures) ?? 0,
    maxAttempts: numberOrUndefined(fields.maxAttempts) ?? 0,
    failedRuns: rowsOf(fields.failedRuns).flatMap(
      ({ run }) => numberOrUndefined(run) ?? [],
    ),
    losses: rowsOf(fields.losses).map(lossOf),
  };
}

function lossOf(row: Readonly<Record<string, unknown>>): CountedLoss {
  return {
    run: numberOrUndefined(row.run),
    worker: stringOrEmpty(row.worker),
    suspicion: stringOrEmpty(row.suspicion),
    lossKind: stringOrEmpty(row.lossKind),
    reason: stringOrEmpty(row.reason),
    presence: stringOrEmpty(row.presence),
    msAgo: numberOrUndefined(row.msAgo),
    othersLost: numberOrUndefined(row.othersLost),
    silentWorkers: numberOrUndefined(row.silentWorkers),
  };
}

function rowsOf(value: unknown): Readonly<Record<string, unknown>>[] {
  const rows: unknown[] = Array.isArray(value) ? value : [];
  return rows.filter(
    (row): row is Record<string, unknown> =>
      typeof row === 'object' && row !== null,
  );
}
