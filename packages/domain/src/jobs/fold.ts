/** Applies the records of the inbox and the journal to the state of jobs. */
import { NO_LIMITS } from './admission.js';
import type { Instant, Millis } from '../core/time.js';
import {
  discountExplainedLosses,
  isAbandoned,
  noteLoss,
  retractLosses,
  workersLostUnder,
} from './suspect-tasks.js';
import { noteLossApplied } from './loss.js';
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
  setTaskStatus,
  type Job,
  type Run,
  type Task,
} from './job.js';
import {
  cancelJob,
  closeRun,
  findTask,
  moveRun,
  noteFinished,
  openRun,
  countOpenRunsAt,
  type JobsState,
} from './jobs-state.js';
import { FORECAST_VALID_MS } from './capacity-rows.js';
import { applyImage } from './restate.js';

/** Applies the record at `offset` of the inbox; a repeated submission changes nothing. */
export function applyInbox(
  state: JobsState,
  record: InboxRecord,
  offset = Infinity,
): void {
  switch (record.kind) {
    case 'submit':
      addJob(state, record, offset);
      return;
    case 'cancel': {
      const job = state.jobs.get(record.job);
      if (job === undefined) {
        state.cancelledUnknown.set(record.job, state.now);
      } else {
        cancelJob(state, job);
      }
      return;
    }
    case 'volunteer': {
      const { host, cores, address } = record;
      const lastOfferAt = state.now;
      state.volunteers.set(host, { cores, address, lastOfferAt });
      return;
    }
  }
}

function addJob(
  state: JobsState,
  record: Extract<InboxRecord, { kind: 'submit' }>,
  offset: number,
): void {
  const known = state.jobs.get(record.job.id);
  if (known !== undefined) {
    noteSubmission(state, known);
    return;
  }
  const job = newJob(record.job, record.atWall, state.now, state.jobs.size);
  job.isSubmissionRead = true;
  state.jobs.set(job.spec.id, job);
  state.changedJobs?.add(job);
  if (state.isRebuilding) {
    state.fragments.set(job, offset);
  }
  // Only a known job is cancelled, so an earlier submission of this one has been dropped from the log.
  job.cancelled = state.cancelledUnknown.delete(job.spec.id);
  if (!job.cancelled) {
    state.openJobs.add(job);
  }
  if (record.job.repetition === undefined) {
    occurrenceOf(job, 0);
  }
}

function noteSubmission(state: JobsState, job: Job): void {
  if (job.isSubmissionRead) {
    state.submittedAgain.add(job);
  }
  job.isSubmissionRead = true;
}

/** Applies a record of the journal; returns false if it names an unknown job. */
export function applyJournal(state: JobsState, record: JournalRecord): boolean {
  switch (record.kind) {
    case 'claim':
      state.journalTime.noteClaim(record.epoch);
      notePreviousEpoch(state, record.epoch);
      state.claim = record;
      state.released = false;
      state.leaderAddress = undefined;
      state.admissionLimits = NO_LIMITS;
      forgetIdleWorkers(state);
      return true;
    case 'heartbeat':
      if (record.epoch > state.claim.epoch) {
        notePreviousEpoch(state, record.epoch);
        state.claim = record;
      }
      state.standbys = record.standbys;
      state.leaderAddress = record.address;
      state.admissionLimits = {
        ...(record.limits ?? NO_LIMITS),
        roomsUntil: state.now + FORECAST_VALID_MS,
      };
      noteUnresponsive(state, record.handed);
      state.usesProxies = record.usesProxies ?? false;
      state.inboxUpTo = record.inboxUpTo ?? 0;
      if (state.isRebuilding) {
        state.inboxUpToAtStart ??= state.inboxUpTo;
      }
      state.journalTime.noteLeadTime(
        record.epoch,
        record.ledForMs,
        record.silence,
      );
      return true;
    case 'reached':
      state.reachedInEpoch.set(record.worker, state.claim.epoch);
      state.unresponsiveSince.delete(record.worker);
      noteReached(state, record.incarnation ?? record.worker);
      return true;
    case 'restate':
      applyImage(state, record.image);
      return true;
    case 'learnt':
      state.learnedEstimates = { estimates: record.learnt, readAt: state.now };
      return true;
    case 'release':
      state.released = true;
      return true;
    case 'begun': {
      const job = state.jobs.get(record.job);
      if (job !== undefined) {
        noteStarted(state, job);
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
    case 'abandoned':
      return applyAbandoned(state, record);
  }
}

/** Does nothing for a claim that is read a second time. */
function notePreviousEpoch(state: JobsState, epoch: number): void {
  if (epoch > state.claim.epoch) {
    state.previousEpoch = state.claim.epoch;
  }
}

/**
 * Keeps the time since which each unresponsive worker has been reported: the time of the record before its
 * first report, since a leader may report it late.
 */
function noteUnresponsive(
  state: JobsState,
  handed: LeaseHandover | undefined,
): void {
  if (handed !== undefined) {
    const { unresponsiveSince, journalTime } = state;
    state.unresponsiveSince = new Map(
      handed.workers.map(([id]) => [
        id,
        unresponsiveSince.get(id) ?? journalTime.now,
      ]),
    );
  }
}

/** A worker that answers was not lost. */
function noteReached(state: JobsState, incarnation: string): void {
  state.lostContacts.noteAnswered(incarnation);
  retractLosses(state, incarnation);
}

/** Forgets which leader reached the workers without open runs: who extended their leases does not matter. */
function forgetIdleWorkers(state: JobsState): void {
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
    // An abandoned run may still have been completed: its task must not run again.
    if (record.how === 'done') {
      noteStarted(state, task.step.occurrence.job);
      noteDone(state, task);
    }
    return true;
  }
  closeRun(state, run);
  if (record.how !== 'void' && record.how !== 'lapsed') {
    noteStarted(state, task.step.occurrence.job);
  }
  if (record.checkpoint !== '') {
    saveCheckpoint(task, record.checkpoint);
  }
  updateTask(state, task, run, record.how);
  return true;
}

/** Notes the loss of a run for its task, and ends the run like one whose lease has expired. */
function applyLost(
  state: JobsState,
  record: Extract<JournalRecord, { kind: 'lost' }>,
): boolean {
  const { task: ref, run, checkpoint, suspicion, age } = record;
  const { noise = 0, concurrentShare = 0 } = record;
  const task = findTask(state, ref);
  const lost = task?.runs.find(({ number }) => number === run);
  if (task !== undefined && lost !== undefined) {
    noteLoss(state, task, lost.worker, {
      suspicion,
      age,
      noise,
      concurrentShare,
    });
    const { claim, now: at, journalTime } = state;
    const applied = { run, epoch: claim.epoch, at, journalAt: journalTime.now };
    noteLossApplied(task.lossHistory, lost.worker, applied);
    failIfAbandoned(state, task);
  }
  return applyEnd(state, {
    kind: 'end',
    task: ref,
    run,
    how: 'lapsed',
    checkpoint,
  });
}

/** A checkpoint of any member of a gang applies to all members. */
function saveCheckpoint(task: Task, checkpoint: string): void {
  const { spec, tasks } = task.step;
  for (const saved of spec.gang ? tasks : [task]) {
    saved.checkpoint = checkpoint;
  }
}

function updateTask(state: JobsState, task: Task, run: Run, how: RunEnd): void {
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
    failIfAttemptsSpent(state, task);
  }
  if (task.runs.length === 0) {
    setTaskStatus(task, 'waiting');
    task.endedAt = unavailableSince(task, how, state.now);
  }
}

/** Marks a task as done, except a long-running one, which is never done. */
function noteDone(state: JobsState, task: Task): void {
  const { spec, tasks } = task.step;
  if (task.status === 'done' || spec.lasting) {
    return;
  }
  // If one member of a gang is done, all are.
  for (const done of spec.gang ? tasks : [task]) {
    finishTask(state, done);
  }
}

/** Minimum outage of a task whose lease has expired: the time since the lease was last extended. */
const MIN_OUTAGE_BEFORE_EXPIRY_MS: Millis = 5_000;

/** Returns the time since which a task has been unavailable, given how its last run ended. */
function unavailableSince(
  { endedAt }: Task,
  how: RunEnd,
  now: Instant,
): Instant {
  switch (how) {
    case 'void':
      // A start that was never executed does not restart the wait.
      return endedAt;
    case 'lapsed':
      return now - MIN_OUTAGE_BEFORE_EXPIRY_MS;
    case 'done':
    case 'failed':
    case 'stopped':
    case 'broken':
    case 'alone':
      return now;
  }
}

function finishTask(state: JobsState, task: Task): void {
  setTaskStatus(task, 'done');
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
    noteFinished(state, job);
  }
}

function noteStarted(state: JobsState, job: Job): void {
  if (!job.hasStarted) {
    job.hasStarted = true;
    state.changedJobs?.add(job);
  }
}

/**
 * Fails the job of a long-running task too: each start costs a worker and everything that runs there. Does not
 * depend on whether the job is cancelled, since hosts read that at different times.
 */
function failIfAbandoned(state: JobsState, task: Task): void {
  const { job } = task.step.occurrence;
  const isOver = job.failure !== undefined || job.remaining === 0;
  if (isAbandoned(task) && !isOver) {
    job.failure = 'workers_lost';
    discountExplainedLosses(state, workersLostUnder(task), task);
    noteFinished(state, job);
  }
}

/** Does nothing new for a reader that has read all losses of the task. */
function applyAbandoned(
  state: JobsState,
  { task: ref, workers }: Extract<JournalRecord, { kind: 'abandoned' }>,
): boolean {
  const task = findTask(state, ref);
  discountExplainedLosses(state, workers, task);
  return task !== undefined;
}

function failIfAttemptsSpent(state: JobsState, task: Task): void {
  const { job } = task.step.occurrence;
  const { spec, failedGangRuns } = task.step;
  const failures = spec.gang ? failedGangRuns.size : task.failures;
  if (!spec.lasting && failures >= job.spec.terms.maxAttempts) {
    job.failure ??= 'attempts_spent';
    noteFinished(state, job);
  }
}
