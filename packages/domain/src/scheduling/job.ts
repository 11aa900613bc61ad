/** The job aggregate: the part of a job's tasks that one shard holds. */
import type { Instant } from '../core/time.js';
import type { JobSpec } from '../declarations/schemas.js';

import { taskId, type TaskId } from './ids.js';
import { newTask, type Task } from './task.js';

/** Indexes of tasks that were never started: from `next` up to but without `end`. */
export interface FreshRange {
  next: number;
  end: number;
}

/** Counts of tasks that this shard holds no longer. */
export interface JobTally {
  completed: number;
  failed: number;
  cancelled: number;
  moved: number;
}

/** A job's tasks in one shard; a task neither fresh nor in `tasks` is finished or elsewhere. */
export interface Job {
  readonly spec: JobSpec;
  /** Key of the jobs that are expected to behave alike: those of a team with the same labels. */
  readonly group: string;
  readonly submittedAtWall: Instant;
  /** Order of arrival in this shard. */
  readonly arrival: number;
  cancelled: boolean;
  heldFor: string | undefined;
  unschedulableFor: string | undefined;
  /** How often an operator lifted its holds. */
  round: number;
  fresh: FreshRange[];
  readonly tasks: Map<number, Task>;
  /** Indexes in `tasks` of those that are queued, the longest queued first. */
  readonly queued: Set<number>;
  /** When a task of it last started, or the job arrived. */
  servedAtWall: Instant;
  /** Tasks on a worker. */
  placed: number;
  /** Number of its tasks on each worker. */
  readonly spread: Map<string, number>;
  readonly tally: JobTally;
  /** Workers on which attempts failed since the last success. */
  readonly failedOn: Set<string>;
  /** Decayed average of completed run times in seconds. */
  runSeconds: number | undefined;
}

/** Returns a job without tasks. */
export function newJob(
  spec: JobSpec,
  submittedAtWall: Instant,
  arrival: number,
): Job {
  return {
    spec,
    group: groupKey(spec),
    submittedAtWall,
    arrival,
    cancelled: false,
    heldFor: undefined,
    unschedulableFor: undefined,
    round: 0,
    fresh: [],
    tasks: new Map(),
    queued: new Set(),
    servedAtWall: submittedAtWall,
    placed: 0,
    spread: new Map(),
    tally: { completed: 0, failed: 0, cancelled: 0, moved: 0 },
    failedOn: new Set(),
    runSeconds: undefined,
  };
}

function groupKey(spec: JobSpec): string {
  const labels = Object.entries(spec.labels).sort(([a], [b]) =>
    a < b ? -1 : 1,
  );
  return `group/${spec.team}/${JSON.stringify(labels)}`;
}

/** Returns how many tasks were never started. */
export function freshCount(job: Job): number {
  return job.fresh.reduce((sum, range) => sum + range.end - range.next, 0);
}

/** Tells whether the job has tasks that may be started once they fit. */
export function isWaiting(job: Job): boolean {
  const some = job.queued.size > 0 || job.fresh.length > 0;
  return some && !job.cancelled && job.heldFor === undefined;
}

/** Tells whether this shard holds no unfinished task of the job. */
export function isDrained(job: Job): boolean {
  return job.fresh.length === 0 && job.tasks.size === 0;
}

/** Takes `count` indexes from `first` out of the fresh ranges; false when any is missing. */
export function takeFresh(job: Job, first: number, count: number): boolean {
  const end = first + count;
  const at = job.fresh.findIndex(
    range => range.next <= first && end <= range.end,
  );
  const range = job.fresh[at];
  if (range === undefined) {
    return false;
  }
  const rest = [
    { next: range.next, end: first },
    { next: end, end: range.end },
  ].filter(part => part.next < part.end);
  job.fresh.splice(at, 1, ...rest);
  return true;
}

/** Returns the task at `index`, made from its fresh range if need be; undefined when not held here. */
export function holdTask(
  job: Job,
  index: number,
  id = taskId(job.spec.name, index),
): Task | undefined {
  const known = job.tasks.get(index);
  if (known !== undefined) {
    return known;
  }
  if (!takeFresh(job, index, 1)) {
    return undefined;
  }
  const task = newTask(id, index, job.submittedAtWall);
  job.tasks.set(index, task);
  return task;
}

/** Brings `queued` up to date after a change of the task at `index`. */
export function indexTask(job: Job, index: number): void {
  if (job.tasks.get(index)?.state.kind === 'queued') {
    job.queued.add(index);
  } else {
    job.queued.delete(index);
  }
}

/** Tells whether the task at `index` is held here and not finished. */
export function holds(job: Job, index: number): boolean {
  return job.tasks.has(index) || isFresh(job, index);
}

function isFresh(job: Job, index: number): boolean {
  return job.fresh.some(range => range.next <= index && index < range.end);
}

/** Returns the task at `index` without changing the job; a fresh one as it would be made. */
export function peekTask(
  job: Job,
  index: number,
  id?: TaskId,
): Task | undefined {
  const known = job.tasks.get(index);
  if (known !== undefined) {
    return known;
  }
  return isFresh(job, index)
    ? newTask(id ?? taskId(job.spec.name, index), index, job.submittedAtWall)
    : undefined;
}
