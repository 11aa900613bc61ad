/** The state of jobs: all jobs, and what runs on each worker. */
import type { Instant, Millis } from '../core/time.js';
import {
  isFinished,
  occurrenceOf,
  type Job,
  type Run,
  type Step,
  type Task,
} from './job.js';
import { workerIdOf } from './incarnation.js';
import { JournalTime } from './journal-time.js';
import type { ReceivedEstimates } from './learned-estimates.js';
import type { Volunteer } from './standbys.js';
import { taskName, type TaskRef } from './task-ref.js';

/** The open runs of one worker and what they take. */
export interface WorkerRuns {
  readonly runs: Map<string, Run>;
  /** Thousandths of a core of the runs that count against capacity. */
  cpuMilli: number;
  /** Thousandths of a core of the serving ones among these. */
  servingCpuMilli: number;
  /** Thousandths of a core that the fillers would use. */
  fillerCpuMilli: number;
  memoryMiB: number;
  accelerators: number;
}

/** The newest claim of the leadership. */
export interface Claim {
  readonly epoch: number;
  readonly host: string;
  readonly nonce: number;
}

/** All jobs by id, those that are not over, and the load of each worker. */
export interface JobsState {
  readonly jobs: Map<string, Job>;
  readonly open: Set<Job>;
  /** By incarnation. */
  readonly workers: Map<string, WorkerRuns>;
  /** Incarnations that are among these, by id of their worker. */
  readonly incarnations: Map<string, string[]>;
  claim: Claim;
  /** Epoch of the claim before the newest one; 0 where there is none, or it is not known. */
  previousEpoch: number;
  /** Epoch of the last leader that reached a worker, by id: no later one has extended the lease there. */
  readonly reachedInEpoch: Map<string, number>;
  /** Hosts that have offered to stand by, by name. */
  readonly volunteers: Map<string, Volunteer>;
  /** Hosts that the leader has chosen to stand by; undefined while all may. */
  standbys: readonly string[] | undefined;
  /** Where the leader takes records for the inbox; undefined until it has said so. */
  leaderAddress: string | undefined;
  /** Jobs of which callers are to be told anew; undefined where nobody collects them. */
  changed: Set<Job> | undefined;
  /** Monotonic time at which records are taken in, set by whoever does so. */
  now: Instant;
  /** What the newest leader to say so has learnt. */
  learnt: ReceivedEstimates | undefined;
  /** Whether the leader has asked to be replaced. */
  released: boolean;
  /** Time in the journal. */
  readonly journalTime: JournalTime;
  /** Journal time since which leaders have told that a worker with open runs does not answer, by its id. */
  silentSince: Map<string, Millis>;
  /** Tasks under which workers were lost, for a while also of jobs that are over. */
  readonly suspects: Set<Task>;
  /** When workers were lost, by worker; not those that had announced that they leave. */
  readonly workerLosses: Map<string, Instant>;
}

/** Returns the state before any record. */
export function emptyJobsState(): JobsState {
  return {
    jobs: new Map(),
    open: new Set(),
    workers: new Map(),
    incarnations: new Map(),
    claim: { epoch: 0, host: '', nonce: 0 },
    previousEpoch: 0,
    reachedInEpoch: new Map(),
    volunteers: new Map(),
    standbys: undefined,
    leaderAddress: undefined,
    changed: undefined,
    now: 0,
    learnt: undefined,
    released: false,
    journalTime: new JournalTime(),
    silentSince: new Map(),
    suspects: new Set(),
    workerLosses: new Map(),
  };
}

/** Returns the task that `ref` names, or undefined. */
export function findTask(state: JobsState, ref: TaskRef): Task | undefined {
  const job = state.jobs.get(ref.job);
  if (job === undefined) {
    return undefined;
  }
  return occurrenceOf(job, ref.occurrence).steps[ref.step]?.tasks[ref.index];
}

/** Returns the reference of a task. */
export function refOf(task: Task): TaskRef {
  const { occurrence, number } = task.step;
  return {
    job: occurrence.job.spec.id,
    occurrence: occurrence.number,
    step: number,
    index: task.index,
  };
}

/** Returns the key of a run among the open runs of its worker. */
export function runKey(name: string, run: number): string {
  return `${name}#${run}`;
}

/** Returns the open runs of a worker's incarnation, created when there are none yet. */
export function workerRuns(state: JobsState, worker: string): WorkerRuns {
  const known = state.workers.get(worker);
  if (known !== undefined) {
    return known;
  }
  const created = emptyRuns();
  state.workers.set(worker, created);
  state.incarnations.set(workerIdOf(worker), [
    ...dropIdle(state, incarnationsBeside(state, worker)),
    worker,
  ]);
  return created;
}

/** Forgets those of the incarnations at which nothing runs; returns the others. */
function dropIdle({ workers }: JobsState, names: readonly string[]): string[] {
  return names.filter(name => {
    const isBusy = (workers.get(name)?.runs.size ?? 0) > 0;
    return isBusy || !workers.delete(name);
  });
}

/** Returns the open runs of all incarnations of a worker but this one. */
export function runsOfOtherIncarnations(
  state: JobsState,
  incarnation: string,
): Run[] {
  return incarnationsBeside(state, incarnation).flatMap(other => [
    ...(state.workers.get(other)?.runs.values() ?? []),
  ]);
}

function incarnationsBeside(state: JobsState, incarnation: string): string[] {
  const known = state.incarnations.get(workerIdOf(incarnation)) ?? [];
  return known.filter(other => other !== incarnation);
}

/** Returns the number of open runs of all incarnations of a worker. */
export function countOpenRunsAt(state: JobsState, worker: string): number {
  const known = state.incarnations.get(worker) ?? [];
  return known.reduce(
    (count, name) => count + (state.workers.get(name)?.runs.size ?? 0),
    0,
  );
}

/** Returns the load of a worker on which nothing runs. */
export function emptyRuns(): WorkerRuns {
  return {
    runs: new Map(),
    cpuMilli: 0,
    servingCpuMilli: 0,
    fillerCpuMilli: 0,
    memoryMiB: 0,
    accelerators: 0,
  };
}

/** Returns the number of runs that have not ended. */
export function countOpenRuns({ workers }: JobsState): number {
  let count = 0;
  for (const { runs } of workers.values()) {
    count += runs.size;
  }
  return count;
}

/** Adds an open run of a task on a worker, and returns it. */
export function openRun(
  state: JobsState,
  task: Task,
  number: number,
  worker: string,
): Run {
  const run: Run = {
    task,
    number,
    worker,
    openedAt: state.now,
    opened: state.journalTime.present,
    progress: undefined,
  };
  task.runs.push(run);
  task.lastRun = Math.max(task.lastRun, number);
  if (task.status === 'waiting') {
    task.status = 'running';
  }
  addToWorker(state, run);
  return run;
}

/** Notes that an open run is at another incarnation of its worker. */
export function moveRun(state: JobsState, run: Run, worker: string): void {
  removeFromWorker(state, run);
  run.worker = worker;
  addToWorker(state, run);
}

function addToWorker(state: JobsState, run: Run): void {
  const { task, number, worker } = run;
  const { openRunsByWorker: spread } = task.step;
  spread.set(worker, (spread.get(worker) ?? 0) + 1);
  const load = workerRuns(state, worker);
  load.runs.set(runKey(taskName(refOf(task)), number), run);
  addLoad(load, task.step, 1);
}

/** Forgets jobs that have been over since before `since` and have nothing running. */
export function forgetFinishedJobs(
  state: JobsState,
  now: Instant,
  since: Instant,
): void {
  for (const job of state.jobs.values()) {
    if (!isFinished(job)) {
      continue;
    }
    job.overAt ??= now;
    if (job.overAt < since && !hasOpenRuns(job)) {
      state.jobs.delete(job.spec.id);
    }
  }
  for (const task of state.suspects) {
    if (isFinished(task.step.occurrence.job)) {
      state.suspects.delete(task);
    }
  }
}

/** Tells whether a run of the job has not ended. */
export function hasOpenRuns(job: Job): boolean {
  return [...job.occurrences.values()].some(({ steps }) =>
    steps.some(({ openRunsByWorker: spread }) => spread.size > 0),
  );
}

/** Adds what a task of a step takes to a worker's load, or takes it off again. */
export function addLoad(load: WorkerRuns, { spec }: Step, sign: 1 | -1): void {
  if (spec.filler) {
    load.fillerCpuMilli += sign * spec.size.cpuMilli;
  } else {
    load.cpuMilli += sign * spec.size.cpuMilli;
  }
  if (spec.tailTargetMs !== undefined) {
    load.servingCpuMilli += sign * spec.size.cpuMilli;
  }
  load.memoryMiB += sign * spec.size.memoryMiB;
  load.accelerators += sign * spec.size.accelerators;
}

/** Takes an open run of a task away again. */
export function closeRun(state: JobsState, run: Run): void {
  const { task } = run;
  task.runs.splice(task.runs.indexOf(run), 1);
  removeFromWorker(state, run);
}

function removeFromWorker(state: JobsState, run: Run): void {
  const { step } = run.task;
  const left = (step.openRunsByWorker.get(run.worker) ?? 1) - 1;
  if (left === 0) {
    step.openRunsByWorker.delete(run.worker);
  } else {
    step.openRunsByWorker.set(run.worker, left);
  }
  const load = workerRuns(state, run.worker);
  load.runs.delete(runKey(taskName(refOf(run.task)), run.number));
  addLoad(load, step, -1);
}
