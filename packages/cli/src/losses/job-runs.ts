/** What the logs tell of each job: when it was accepted and over, and its runs. */
import { numberOf, textOf, type LogLine } from '../log-lines.js';

/** One run of a task, from its order to its end. */
export interface LoggedRun {
  readonly task: string;
  readonly step: number;
  readonly from: number;
  /** Infinite while no end is told. */
  to: number;
  /** `open` while no end is told. */
  how: string;
  /** Milliseconds that its leader expected of it; 0 where that is not told. */
  expectedMs: number;
}

/** One job as the logs tell it; times are milliseconds of the wall clock. */
export interface LoggedJob {
  readonly id: string;
  queue: string;
  /** When it was first asked for, and when that was recorded. */
  askedAt: number;
  acceptedAt: number;
  overAt: number;
  status: string;
  objectiveMs: number;
  /** Core-milliseconds by its caller's own guess; undefined where no line tells. */
  coreMs: number | undefined;
  readonly runs: LoggedRun[];
}

/** Reads all jobs that the lines tell of. */
export function readJobs(lines: readonly LogLine[]): LoggedJob[] {
  const jobs = new Map<string, LoggedJob>();
  const runs = new Map<string, LoggedRun>();
  for (const line of lines) {
    const at = Date.parse(line.time);
    switch (line.msg) {
      case 'jobs: answered':
        takeAnswer(jobs, line, at);
        break;
      case 'leader: a run is ordered':
        takeOrder(jobs, runs, line, at);
        break;
      case 'leader: a run has ended':
        takeEnd(runs, line, at);
        break;
      case 'leader: a job is over':
        takeOver(jobs, line, at);
        break;
    }
  }
  return [...jobs.values()];
}

function takeAnswer(
  jobs: Map<string, LoggedJob>,
  { fields }: LogLine,
  at: number,
): void {
  const job = jobOf(jobs, textOf(fields.job));
  const { kind } = (fields.result ?? {}) as Record<string, unknown>;
  if (fields.change === 'cancel' && kind === 'recorded') {
    job.overAt = Math.min(job.overAt, at);
    job.status = 'cancelled';
  }
  if (fields.change === 'submit') {
    job.queue = textOf(fields.queue) || job.queue;
    job.askedAt = Math.min(job.askedAt, at);
    job.coreMs ??= numberOf(fields.coreMs);
    if (kind === 'recorded') {
      job.acceptedAt = Math.min(job.acceptedAt, at);
    }
  }
}

function takeOrder(
  jobs: Map<string, LoggedJob>,
  runs: Map<string, LoggedRun>,
  { fields }: LogLine,
  at: number,
): void {
  const task = textOf(fields.task);
  const [id = '', , step = ''] = task.split('.');
  const run: LoggedRun = {
    task,
    step: Number(step),
    from: at,
    to: Infinity,
    how: 'open',
    expectedMs: 0,
  };
  runs.set(runName(fields), run);
  jobOf(jobs, id).runs.push(run);
}

function takeEnd(
  runs: ReadonlyMap<string, LoggedRun>,
  { fields }: LogLine,
  at: number,
): void {
  const run = runs.get(runName(fields));
  if (run !== undefined) {
    run.to = at;
    run.how = textOf(fields.how);
    run.expectedMs = Number(fields.expectedMs ?? 0);
  }
}

function takeOver(
  jobs: Map<string, LoggedJob>,
  { fields }: LogLine,
  at: number,
): void {
  const job = jobOf(jobs, textOf(fields.job));
  job.queue = textOf(fields.queue) || job.queue;
  job.overAt = Math.min(job.overAt, at);
  job.status = textOf(fields.status);
  job.objectiveMs = Number(fields.objectiveMs ?? 0);
}

function runName({ task, run }: LogLine['fields']): string {
  return `${textOf(task)}#${Number(run)}`;
}

function jobOf(jobs: Map<string, LoggedJob>, id: string): LoggedJob {
  const known = jobs.get(id);
  if (known !== undefined) {
    return known;
  }
  const created: LoggedJob = {
    id,
    queue: '',
    askedAt: Infinity,
    acceptedAt: Infinity,
    overAt: Infinity,
    status: 'open',
    objectiveMs: 0,
    coreMs: undefined,
    runs: [],
  };
  jobs.set(id, created);
  return created;
}
