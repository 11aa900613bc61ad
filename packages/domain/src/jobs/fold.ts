/** Folds the records of inbox and journal into the state of jobs. */
import type { Instant, Millis } from '../core/time.js';
import { explainLosses, isAbandoned, noteLoss } from './suspect-tasks.js';
import type {
  LeaseHandover,
  InboxRecord,
  JournalRecord,
  RunEnd,
} from './records.js';
import {
  isFinished,
  newJob,
  occurrenceOf,
  type Job,
  type Run,
  type Task,
} from './job.js';
import {
  closeRun,
  findTask,
  moveRun,
  openRun,
  countOpenRunsAt,
  type JobsState,
} from './jobs-state.js';
import { applyImage } from './restate.js';

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
        close(state, job);
      }
      return;
    }
    case 'volunteer': {
      const { host, cores, address } = record;
      const heardAt = state.now;
      state.volunteers.set(host, { cores, address, lastOfferAt: heardAt });
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
  const job = newJob(record.job, record.atWall, state.now, state.jobs.size);
  state.jobs.set(job.spec.id, job);
  state.open.add(job);
  state.changed?.add(job);
  if (record.job.repetition === undefined) {
    occurrenceOf(job, 0);
  }
}

/** Applies a record of the journal; false when it names a job that is not known. */
export function applyJournal(state: JobsState, record: JournalRecord): boolean {
  switch (record.kind) {
    case 'claim':
      state.journalTime.noteClaim(record.epoch);
      noteEpochBefore(state, record.epoch);
      state.claim = record;
      state.released = false;
      state.leaderAddress = undefined;
      forgetIdle(state);
      return true;
    case 'heartbeat':
      if (record.epoch > state.claim.epoch) {
        noteEpochBefore(state, record.epoch);
        state.claim = record;
      }
      state.standbys = record.standbys;
      state.leaderAddress = record.address;
      noteSilent(state, record.handed);
      state.journalTime.noteLed(record.epoch, record.ledForMs, record.silence);
      return true;
    case 'reached':
      state.reachedInEpoch.set(record.worker, state.claim.epoch);
      state.silentSince.delete(record.worker);
      return true;
    case 'restate':
      applyImage(state, record.image);
      return true;
    case 'learnt':
      state.learnt = { learnt: record.learnt, readAt: state.now };
      return true;
    case 'release':
      state.released = true;
      return true;
    case 'begun': {
      const job = state.jobs.get(record.job);
      if (job !== undefined) {
        noteBegun(state, job);
      }
      return job !== undefined;
    }
    case 'start':
      return applyStart(state, record);
    case 'moved':
      return applyMoved(state, record);
    case 'end':
      return applyEnd(state, record);
    case 'lost':
      return applyLost(state, record);
  }
}

/** A claim that is read once more changes nothing. */
function noteEpochBefore(state: JobsState, epoch: number): void {
  if (epoch > state.claim.epoch) {
    state.previousEpoch = state.claim.epoch;
  }
}

/**
 * Keeps since when each worker that does not answer has been told to be so: as of the record before, since
 * a leader may say so late.
 */
function noteSilent(state: JobsState, handed: LeaseHandover | undefined): void {
  if (handed !== undefined) {
    const { silentSince, journalTime } = state;
    state.silentSince = new Map(
      handed.workers.map(([id]) => [
        id,
        silentSince.get(id) ?? journalTime.now,
      ]),
    );
  }
}

/** Only where something runs does it matter who may have extended the lease. */
function forgetIdle(state: JobsState): void {
  for (const worker of state.reachedInEpoch.keys()) {
    if (countOpenRunsAt(state, worker) === 0) {
      state.reachedInEpoch.delete(worker);
    }
  }
}

function applyStart(
  state: JobsState,
  record: Extract<JournalRecord, { kind: 'start' }>,
): boolean {
  const task = findTask(state, record.task);
  if (task === undefined) {
    return false;
  }
  openRun(state, task, record.run, record.worker);
  return true;
}

function applyMoved(
  state: JobsState,
  record: Extract<JournalRecord, { kind: 'moved' }>,
): boolean {
  const task = findTask(state, record.task);
  const run = task?.runs.find(({ number }) => number === record.run);
  if (run !== undefined) {
    moveRun(state, run, record.worker);
  }
  return task !== undefined;
}

function applyEnd(
  state: JobsState,
  record: Extract<JournalRecord, { kind: 'end' }>,
): boolean {
  const task = findTask(state, record.task);
  if (task === undefined) {
    return false;
  }
  const run = task.runs.find(({ number }) => number === record.run);
  if (run === undefined) {
    // A run that was given up may have been done all the same: its task must not run again.
    if (record.how === 'done') {
      noteBegun(state, task.step.occurrence.job);
      noteDone(state, task);
    }
    return true;
  }
  closeRun(state, run);
  if (record.how !== 'void' && record.how !== 'lapsed') {
    noteBegun(state, task.step.occurrence.job);
  }
  if (record.checkpoint !== '') {
    saveCheckpoint(task, record.checkpoint);
  }
  settleTask(state, task, run, record.how);
  return true;
}

/** A run that is gone with its worker ends as one whose lease has lapsed, and its task may be to blame. */
function applyLost(
  state: JobsState,
  record: Extract<JournalRecord, { kind: 'lost' }>,
): boolean {
  const { task: ref, run, checkpoint, suspicion, age } = record;
  const task = findTask(state, ref);
  const lost = task?.runs.find(({ number }) => number === run);
  if (task !== undefined && lost !== undefined) {
    noteLoss(state, task, lost.worker, suspicion, age);
    failWhenGivenUp(state, task);
  }
  return applyEnd(state, {
    kind: 'end',
    task: ref,
    run,
    how: 'lapsed',
    checkpoint,
  });
}

/** A checkpoint of any member of a gang holds for all of them. */
function saveCheckpoint(task: Task, checkpoint: string): void {
  const { spec, tasks } = task.step;
  for (const saved of spec.gang ? tasks : [task]) {
    saved.checkpoint = checkpoint;
  }
}

function settleTask(state: JobsState, task: Task, run: Run, how: RunEnd): void {
  const { failedGangRuns } = task.step;
  if (how === 'done') {
    noteDone(state, task);
  }
  if (task.status === 'done') {
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
    task.endedAt = endOf(task, how, state.now);
  }
}

/** A task that lasts is never done. */
function noteDone(state: JobsState, task: Task): void {
  const { spec, tasks } = task.step;
  if (task.status === 'done' || spec.lasting) {
    return;
  }
  // One member of a gang that is done stands for all.
  for (const done of spec.gang ? tasks : [task]) {
    finishTask(state, done);
  }
}

/** How long a task has been away at least whose lease has lapsed: that long before it was last extended. */
const LAPSED_AWAY_MS: Millis = 5_000;

/** Returns since when a task is away whose last run has ended. */
function endOf({ endedAt }: Task, how: RunEnd, now: Instant): Instant {
  switch (how) {
    case 'void':
      // A start that is never carried out does not begin the wait anew.
      return endedAt;
    case 'lapsed':
      return now - LAPSED_AWAY_MS;
    case 'done':
    case 'failed':
    case 'stopped':
    case 'broken':
    case 'alone':
      return now;
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
  if (isFinished(job)) {
    close(state, job);
  }
}

function noteBegun(state: JobsState, job: Job): void {
  if (!job.hasStarted) {
    job.hasStarted = true;
    state.changed?.add(job);
  }
}

/** Notes that a job is over, or over in another way. */
function close(state: JobsState, job: Job): void {
  state.open.delete(job);
  state.changed?.add(job);
}

/** Lasting tasks are given up as well: each start costs a worker and all that runs there. */
function failWhenGivenUp(state: JobsState, task: Task): void {
  const { job } = task.step.occurrence;
  if (isAbandoned(task) && !isFinished(job)) {
    job.failure = 'workers_lost';
    explainLosses(state, task);
    close(state, job);
  }
}

function failWhenSpent(state: JobsState, task: Task): void {
  const { job } = task.step.occurrence;
  const { spec, failedGangRuns } = task.step;
  const failures = spec.gang ? failedGangRuns.size : task.failures;
  if (!spec.lasting && failures >= job.spec.terms.maxAttempts) {
    job.failure ??= 'attempts_spent';
    close(state, job);
  }
}
