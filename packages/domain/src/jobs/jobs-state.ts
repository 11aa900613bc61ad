/** The state of all jobs and of the runs on each worker. */
import { NO_LIMITS, type AdmissionLimits } from './admission.js';
import type { Instant, Millis } from '../core/time.js';
import {
  isFinished,
  occurrenceOf,
  setTaskStatus,
  type Job,
  type Run,
  type Step,
  type Task,
} from './job.js';
import { workerIdOf } from './incarnation.js';
import { JournalTime } from './journal-time.js';
import type { ReceivedEstimates } from './learned-estimates.js';
import { LostContacts } from './lost-contacts.js';
import { noteRunAdded, noteRunRemoved } from './run-views.js';
import type { Volunteer } from './standbys.js';
import { taskName, type TaskRef } from './task-ref.js';

/** The open runs of one worker and the resources that they take. */
export interface WorkerRuns {
  readonly runs: Map<string, Run>;
  /** Thousandths of a core of the runs that count against capacity: all but best-effort filler tasks. */
  cpuMilli: number;
  /** Thousandths of a core of the serving runs, which are part of `cpuMilli`. */
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

/** The state that is built from the inbox and the journal. */
export interface JobsState {
  /** All jobs by id. */
  readonly jobs: Map<string, Job>;
  /** Jobs that are not finished. */
  readonly openJobs: Set<Job>;
  /** Open runs by incarnation of the worker. */
  readonly workers: Map<string, WorkerRuns>;
  /** Incarnations among the keys of `workers`, by id of the worker. */
  readonly incarnations: Map<string, string[]>;
  claim: Claim;
  /** Epoch of the claim before the newest one; 0 if there is none or it is unknown. */
  previousEpoch: number;
  /** Epoch of the last leader that reached a worker, by id: no later leader has extended the lease there. */
  readonly reachedInEpoch: Map<string, number>;
  /** Hosts that have offered to be standbys, by name. */
  readonly volunteers: Map<string, Volunteer>;
  /** Hosts that the leader has chosen as standbys; undefined while every host may be one. */
  standbys: readonly string[] | undefined;
  /** Address at which the leader accepts records for the inbox; undefined until it has reported one. */
  leaderAddress: string | undefined;
  /** Limits on the jobs that are accepted, as the leader has last reported them. */
  admissionLimits: AdmissionLimits;
  /** Jobs whose reported state has changed; undefined if nobody collects them. */
  changedJobs: Set<Job> | undefined;
  /** Monotonic time at which records are applied, set by the caller that applies them. */
  now: Instant;
  /** Estimates of the newest leader that has recorded any. */
  learnedEstimates: ReceivedEstimates | undefined;
  /** Whether the leader has asked to be replaced. */
  released: boolean;
  /** Clock of the journal. */
  readonly journalTime: JournalTime;
  /** Journal time since which leaders have reported a worker with open runs as unresponsive, by id. */
  unresponsiveSince: Map<string, Millis>;
  /** Tasks whose workers were lost while running them; those of finished jobs are removed later. */
  readonly suspects: Set<Task>;
  /**
   * Monotonic times at which workers were lost, by worker. A worker without recently started runs is omitted
   * if it had announced its departure or may only be unreachable.
   */
  readonly workerLosses: Map<string, Instant>;
  /** Tasks that ran on lost workers, by worker. */
  readonly tasksLostWith: Map<string, Set<Task>>;
  /** Workers that have stopped answering; only the leader keeps them. */
  readonly lostContacts: LostContacts;
  /**
   * Whether the log had dropped journal records before this host began to read, and this host has not read all that
   * is left: what it reads of a job may be a part of its records.
   */
  isRebuilding: boolean;
  /**
   * Jobs of which only a part of the records may be known, until they are restated, with the offsets of their
   * submissions in the inbox.
   */
  readonly fragments: Map<Job, number>;
  /** Whether other hosts call workers for the last leader that has reported. */
  usesProxies: boolean;
  /** Offset in the inbox of the last heartbeat; 0 if there is none. */
  inboxUpTo: number;
  /** The same of the first heartbeat that the journal still held; undefined if none was read while rebuilding. */
  inboxUpToAtStart: number | undefined;
  /** Jobs that were submitted more than once, until the leader has restated them as finished. */
  readonly submittedAgain: Set<Job>;
  /** Number of open runs of each step that has any. */
  readonly openRunsByStep: Map<Step, number>;
  /** Cancelled jobs whose submission is not known, with the monotonic time at which the cancellation was read. */
  readonly cancelledUnknown: Map<string, Instant>;
}

/** Returns the state before any record. */
export function emptyJobsState(): JobsState {
  return {
    jobs: new Map(),
    openJobs: new Set(),
    workers: new Map(),
    incarnations: new Map(),
    claim: { epoch: 0, host: '', nonce: 0 },
    previousEpoch: 0,
    reachedInEpoch: new Map(),
    volunteers: new Map(),
    standbys: undefined,
    leaderAddress: undefined,
    admissionLimits: NO_LIMITS,
    changedJobs: undefined,
    now: 0,
    learnedEstimates: undefined,
    released: false,
    journalTime: new JournalTime(),
    unresponsiveSince: new Map(),
    suspects: new Set(),
    workerLosses: new Map(),
    tasksLostWith: new Map(),
    lostContacts: new LostContacts(),
    isRebuilding: false,
    fragments: new Map(),
    usesProxies: false,
    inboxUpTo: 0,
    inboxUpToAtStart: undefined,
    submittedAgain: new Set(),
    openRunsByStep: new Map(),
    cancelledUnknown: new Map(),
  };
}

/** Returns the task that `ref` names; undefined if it is unknown. */
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

/** Returns the open runs of a worker's incarnation and creates the entry if necessary. */
export function workerRuns(state: JobsState, worker: string): WorkerRuns {
  const known = state.workers.get(worker);
  if (known !== undefined) {
    return known;
  }
  const created = emptyWorkerRuns();
  state.workers.set(worker, created);
  state.incarnations.set(workerIdOf(worker), [
    ...dropIdleIncarnations(state, otherIncarnations(state, worker)),
    worker,
  ]);
  return created;
}

/** Removes incarnations without open runs and returns the others. */
function dropIdleIncarnations(
  { workers }: JobsState,
  names: readonly string[],
): string[] {
  return names.filter(name => {
    const isBusy = (workers.get(name)?.runs.size ?? 0) > 0;
    return isBusy || !workers.delete(name);
  });
}

/** Returns the open runs of all other incarnations of the same worker. */
export function runsOfOtherIncarnations(
  state: JobsState,
  incarnation: string,
): Run[] {
  return otherIncarnations(state, incarnation).flatMap(other => [
    ...(state.workers.get(other)?.runs.values() ?? []),
  ]);
}

function otherIncarnations(state: JobsState, incarnation: string): string[] {
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

/** Returns the workers with open runs. */
export function busyWorkers({ workers }: JobsState): string[] {
  return [...workers]
    .filter(([, { runs }]) => runs.size > 0)
    .map(([worker]) => worker);
}

/** Returns the load of a worker without runs. */
export function emptyWorkerRuns(): WorkerRuns {
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
    startMoment: state.journalTime.currentMoment,
    progress: undefined,
  };
  task.runs.push(run);
  task.lastRun = Math.max(task.lastRun, number);
  if (task.status === 'waiting') {
    setTaskStatus(task, 'running');
  }
  addToWorker(state, run);
  return run;
}

/** Moves an open run to another incarnation of its worker. */
export function moveRun(state: JobsState, run: Run, worker: string): void {
  removeFromWorker(state, run);
  run.worker = worker;
  addToWorker(state, run);
}

/** Changes the count of a key; a key whose count is 0 has no entry. */
function addToCount<K>(counts: Map<K, number>, key: K, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count > 0) {
    counts.set(key, count);
  } else {
    counts.delete(key);
  }
}

function addToWorker(state: JobsState, run: Run): void {
  const { task, number, worker } = run;
  addToCount(task.step.openRunsByWorker, worker, 1);
  addToCount(state.openRunsByStep, task.step, 1);
  const load = workerRuns(state, worker);
  load.runs.set(runKey(taskName(refOf(task)), number), run);
  noteRunAdded(load.runs, run);
  addLoad(load, task.step, 1);
}

/**
 * Removes jobs that finished before `since` and have no open runs, cancellations of unknown jobs that were read before
 * that, and the suspects of all finished jobs.
 */
export function forgetFinishedJobs(
  state: JobsState,
  now: Instant,
  since: Instant,
): void {
  for (const job of state.jobs.values()) {
    if (!isFinished(job)) {
      continue;
    }
    job.finishedAt ??= now;
    if (job.finishedAt < since && !hasOpenRuns(job)) {
      state.jobs.delete(job.spec.id);
      state.fragments.delete(job);
      state.submittedAgain.delete(job);
    }
  }
  for (const [job, at] of state.cancelledUnknown) {
    if (at < since) {
      state.cancelledUnknown.delete(job);
    }
  }
  for (const task of state.suspects) {
    if (isFinished(task.step.occurrence.job)) {
      state.suspects.delete(task);
    }
  }
}

/** Cancels a job that is not completed. */
export function cancelJob(state: JobsState, job: Job): void {
  if (job.remaining > 0 && !job.cancelled) {
    job.cancelled = true;
    noteFinished(state, job);
  }
}

/** Notes that a job is finished, or that the reason why it finished has changed. */
export function noteFinished(state: JobsState, job: Job): void {
  state.openJobs.delete(job);
  state.changedJobs?.add(job);
}

/** Removes a job with its runs. */
export function removeJob(state: JobsState, job: Job): void {
  for (const task of tasksOf(job)) {
    for (const run of [...task.runs]) {
      closeRun(state, run);
    }
    state.suspects.delete(task);
    for (const { worker } of task.lossHistory.losses) {
      state.tasksLostWith.get(worker)?.delete(task);
    }
  }
  state.jobs.delete(job.spec.id);
  state.openJobs.delete(job);
  state.changedJobs?.delete(job);
  state.fragments.delete(job);
  state.submittedAgain.delete(job);
}

/**
 * Ends rebuilding, once all that is left of inbox and journal has been read. A job that a leader knew before the first
 * record that the journal still holds, and that is not restated since, was finished and forgotten: leaders restate all
 * others in time. Only its submission was kept for longer.
 */
export function endRebuilding(state: JobsState): void {
  if (!state.isRebuilding) {
    return;
  }
  state.isRebuilding = false;
  for (const [job, offset] of state.fragments) {
    if (offset < (state.inboxUpToAtStart ?? 0)) {
      removeJob(state, job);
    }
  }
}

function tasksOf({ occurrences }: Job): Task[] {
  return [...occurrences.values()].flatMap(({ steps }) =>
    steps.flatMap(({ tasks }) => tasks),
  );
}

/** Tells whether a run of the job has not ended. */
export function hasOpenRuns(job: Job): boolean {
  return [...job.occurrences.values()].some(({ steps }) =>
    steps.some(({ openRunsByWorker }) => openRunsByWorker.size > 0),
  );
}

/** Adds the resources of one task of a step to a worker's load, or subtracts them. */
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

/** Removes an open run of a task. */
export function closeRun(state: JobsState, run: Run): void {
  const { task } = run;
  task.runs.splice(task.runs.indexOf(run), 1);
  removeFromWorker(state, run);
}

function removeFromWorker(state: JobsState, run: Run): void {
  const { step } = run.task;
  addToCount(step.openRunsByWorker, run.worker, -1);
  addToCount(state.openRunsByStep, step, -1);
  const load = workerRuns(state, run.worker);
  load.runs.delete(runKey(taskName(refOf(run.task)), run.number));
  noteRunRemoved(load.runs, run);
  addLoad(load, step, -1);
}
