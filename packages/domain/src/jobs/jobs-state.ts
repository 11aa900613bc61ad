/** The fold of inbox and journal: all jobs, and what runs on each worker. */
import type { InboxRecord, JournalRecord, TaskRef } from './records.js';
import { taskName } from './records.js';
import {
  isOver,
  newJob,
  occurrenceOf,
  type Job,
  type Run,
  type Step,
  type Task,
} from './job.js';

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
  readonly workers: Map<string, WorkerRuns>;
  claim: Claim;
  /** Whether the leader has asked to be replaced. */
  released: boolean;
}

/** Returns the state before any record. */
export function emptyJobsState(): JobsState {
  return {
    jobs: new Map(),
    open: new Set(),
    workers: new Map(),
    claim: { epoch: 0, host: '', nonce: 0 },
    released: false,
  };
}

/** Applies a record of the inbox; a repeated submission changes nothing. */
export function applyInbox(state: JobsState, record: InboxRecord): void {
  switch (record.kind) {
    case 'submit':
      addJob(state, record);
      return;
    case 'cancel': {
      const job = state.jobs.get(record.job);
      if (job !== undefined && job.remaining > 0) {
        job.cancelled = true;
        state.open.delete(job);
      }
      return;
    }
  }
}

function addJob(
  state: JobsState,
  record: Extract<InboxRecord, { kind: 'submit' }>,
): void {
  if (state.jobs.has(record.job.id)) {
    return;
  }
  const job = newJob(record.job, record.atWall, state.jobs.size);
  state.jobs.set(job.spec.id, job);
  state.open.add(job);
  if (record.job.repetition === undefined) {
    occurrenceOf(job, 0);
  }
}

/** Applies a record of the journal; false when it names a job that is not known. */
export function applyJournal(state: JobsState, record: JournalRecord): boolean {
  switch (record.kind) {
    case 'claim':
      state.claim = record;
      state.released = false;
      return true;
    case 'heartbeat':
      return true;
    case 'release':
      state.released = true;
      return true;
    case 'start':
      return applyStart(state, record);
    case 'end':
      return applyEnd(state, record);
  }
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

/** Returns the open runs of a worker, created when there are none yet. */
export function workerRuns(state: JobsState, worker: string): WorkerRuns {
  const known = state.workers.get(worker);
  if (known !== undefined) {
    return known;
  }
  const created: WorkerRuns = {
    runs: new Map(),
    cpuMilli: 0,
    servingCpuMilli: 0,
    fillerCpuMilli: 0,
    memoryMiB: 0,
    accelerators: 0,
  };
  state.workers.set(worker, created);
  return created;
}

function applyStart(
  state: JobsState,
  record: Extract<JournalRecord, { kind: 'start' }>,
): boolean {
  const task = findTask(state, record.task);
  if (task === undefined) {
    return false;
  }
  const { worker, run: number } = record;
  const run: Run = { task, number, worker, progress: undefined };
  task.runs.push(run);
  task.lastRun = Math.max(task.lastRun, number);
  if (task.status === 'waiting') {
    task.status = 'running';
  }
  const { spread } = task.step;
  spread.set(worker, (spread.get(worker) ?? 0) + 1);
  const load = workerRuns(state, worker);
  load.runs.set(runKey(taskName(record.task), number), run);
  addLoad(load, task.step, 1);
  task.step.occurrence.job.begun = true;
  return true;
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

function applyEnd(
  state: JobsState,
  record: Extract<JournalRecord, { kind: 'end' }>,
): boolean {
  const task = findTask(state, record.task);
  if (task === undefined) {
    return false;
  }
  const at = task.runs.findIndex(run => run.number === record.run);
  const run = task.runs[at];
  if (run === undefined) {
    return true;
  }
  task.runs.splice(at, 1);
  removeRun(state, run);
  if (record.checkpoint !== '') {
    saveCheckpoint(task, record.checkpoint);
  }
  settleTask(state, task, run, record.how);
  return true;
}

/** A checkpoint of any member of a gang holds for all of them. */
function saveCheckpoint(task: Task, checkpoint: string): void {
  const { spec, tasks } = task.step;
  for (const saved of spec.gang ? tasks : [task]) {
    saved.checkpoint = checkpoint;
  }
}

function removeRun(state: JobsState, run: Run): void {
  const { step } = run.task;
  const left = (step.spread.get(run.worker) ?? 1) - 1;
  if (left === 0) {
    step.spread.delete(run.worker);
  } else {
    step.spread.set(run.worker, left);
  }
  const load = workerRuns(state, run.worker);
  load.runs.delete(runKey(taskName(refOf(run.task)), run.number));
  addLoad(load, step, -1);
}

function settleTask(
  state: JobsState,
  task: Task,
  run: Run,
  how: Extract<JournalRecord, { kind: 'end' }>['how'],
): void {
  if (task.status === 'done') {
    return;
  }
  const { spec, tasks, failedGangRuns } = task.step;
  if (how === 'done' && !spec.lasting) {
    // One member of a gang that is done stands for all.
    for (const done of spec.gang ? tasks : [task]) {
      finishTask(state, done);
    }
    return;
  }
  if (how === 'failed') {
    task.failures += 1;
    task.failedOn.add(run.worker);
    failedGangRuns.add(run.number);
    failWhenSpent(state, task);
  }
  if (task.runs.length === 0) {
    task.status = 'waiting';
  }
}

function finishTask(state: JobsState, task: Task): void {
  task.status = 'done';
  const { step } = task;
  step.remaining -= 1;
  if (step.remaining > 0) {
    return;
  }
  const { occurrence } = step;
  occurrence.remaining -= 1;
  if (occurrence.remaining > 0) {
    return;
  }
  const { job } = occurrence;
  job.remaining -= 1;
  if (isOver(job)) {
    state.open.delete(job);
  }
}

function failWhenSpent(state: JobsState, task: Task): void {
  const { job } = task.step.occurrence;
  const { spec, failedGangRuns } = task.step;
  const failures = spec.gang ? failedGangRuns.size : task.failures;
  if (!spec.lasting && failures >= job.spec.terms.maxAttempts) {
    job.failed = true;
    state.open.delete(job);
  }
}
