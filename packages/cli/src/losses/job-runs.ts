/** Reconstructs jobs and their runs from the logs. */
import {
  numberOrUndefined,
  stringOrEmpty,
  type LogLine,
} from '../log-lines.js';

/** One run of a task, from its start command to its end. */
export interface LoggedRun {
  readonly task: string;
  readonly step: number;
  readonly orderedAt: number;
  /** Infinity if no end was logged. */
  endedAt: number;
  /** How the run ended; `open` if no end was logged. */
  outcome: string;
  /** Run time that the leader expected, in milliseconds; 0 if it was not logged. */
  expectedMs: number;
}

/** A job as found in the logs; times are wall-clock milliseconds, Infinity if not logged. */
export interface LoggedJob {
  readonly id: string;
  queue: string;
  /** When the first submission was answered, whatever the answer. */
  submittedAt: number;
  /** When a submission was first answered as recorded. */
  acceptedAt: number;
  finishedAt: number;
  status: string;
  objectiveMs: number;
  /** Core-milliseconds as estimated by its caller; undefined if not logged. */
  coreMs: number | undefined;
  readonly runs: LoggedRun[];
}

/** Collects all jobs mentioned in the lines. */
export function readJobs(lines: readonly LogLine[]): LoggedJob[] {
  const jobs = new Map<string, LoggedJob>();
  const runs = new Map<string, LoggedRun>();
  for (const line of lines) {
    const at = Date.parse(line.time);
    switch (line.msg) {
      case 'jobs: answered':
        applyAnswer(jobs, line, at);
        break;
      case 'leader: a run is ordered':
        startRun(jobs, runs, line, at);
        break;
      case 'leader: a run has ended':
        endRun(runs, line, at);
        break;
      case 'leader: a job is over':
        finishJob(jobs, line, at);
        break;
    }
  }
  return [...jobs.values()];
}

function applyAnswer(
  jobs: Map<string, LoggedJob>,
  { fields }: LogLine,
  at: number,
): void {
  const job = getOrCreateJob(jobs, stringOrEmpty(fields.job));
  const { kind } = (fields.result ?? {}) as Record<string, unknown>;
  if (fields.change === 'cancel' && kind === 'recorded') {
    job.finishedAt = Math.min(job.finishedAt, at);
    job.status = 'cancelled';
  }
  if (fields.change === 'submit') {
    job.queue = stringOrEmpty(fields.queue) || job.queue;
    job.submittedAt = Math.min(job.submittedAt, at);
    job.coreMs ??= numberOrUndefined(fields.coreMs);
    if (kind === 'recorded') {
      job.acceptedAt = Math.min(job.acceptedAt, at);
    }
  }
}

function startRun(
  jobs: Map<string, LoggedJob>,
  runs: Map<string, LoggedRun>,
  { fields }: LogLine,
  at: number,
): void {
  const task = stringOrEmpty(fields.task);
  const [id = '', , step = ''] = task.split('.');
  const run: LoggedRun = {
    task,
    step: Number(step),
    orderedAt: at,
    endedAt: Infinity,
    outcome: 'open',
    expectedMs: 0,
  };
  runs.set(runKey(fields), run);
  getOrCreateJob(jobs, id).runs.push(run);
}

function endRun(
  runs: ReadonlyMap<string, LoggedRun>,
  { fields }: LogLine,
  at: number,
): void {
  const run = runs.get(runKey(fields));
  if (run !== undefined) {
    run.endedAt = at;
    run.outcome = stringOrEmpty(fields.how);
    run.expectedMs = Number(fields.expectedMs ?? 0);
  }
}

function finishJob(
  jobs: Map<string, LoggedJob>,
  { fields }: LogLine,
  at: number,
): void {
  const job = getOrCreateJob(jobs, stringOrEmpty(fields.job));
  job.queue = stringOrEmpty(fields.queue) || job.queue;
  job.finishedAt = Math.min(job.finishedAt, at);
  job.status = stringOrEmpty(fields.status);
  job.objectiveMs = Number(fields.objectiveMs ?? 0);
}

function runKey({ task, run }: LogLine['fields']): string {
  return `${stringOrEmpty(task)}#${Number(run)}`;
}

function getOrCreateJob(jobs: Map<string, LoggedJob>, id: string): LoggedJob {
  const known = jobs.get(id);
  if (known !== undefined) {
    return known;
  }
  const created: LoggedJob = {
    id,
    queue: '',
    submittedAt: Infinity,
    acceptedAt: Infinity,
    finishedAt: Infinity,
    status: 'open',
    objectiveMs: 0,
    coreMs: undefined,
    runs: [],
  };
  jobs.set(id, created);
  return created;
}
