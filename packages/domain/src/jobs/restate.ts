/**
 * Records that restate the whole state of a job, so that the log need not keep older records of the job.
 *
 * The log drops records after its retention time. A reader that starts after the first records of a job were
 * dropped does not know the job until it is restated, and has its complete state from then on.
 */
import type { Instant, Millis } from '../core/time.js';
import {
  isFinished,
  newJob,
  occurrenceOf,
  setTaskStatus,
  type FailureReason,
  type Job,
  type Run,
  type Step,
  type Task,
} from './job.js';
import { addLosses } from './suspect-tasks.js';
import {
  incarnationOf,
  isStartTime,
  startTimeOf,
  workerIdOf,
} from './incarnation.js';
import type { JournalTime } from './journal-time.js';
import { parseLoss, lossRow, type LossRow } from './span-rows.js';
import {
  cancelJob,
  hasOpenRuns,
  openRun,
  removeJob,
  type JobsState,
} from './jobs-state.js';
import type { JobSpec } from './spec.js';

/** An open run. */
export type RunRow = readonly [
  number: number,
  /** Id of its worker. */
  worker: string,
  /** Time since its start; absent if an earlier version wrote the row. */
  ageMs?: Millis,
  /** Start time of the worker's incarnation; absent if unknown. */
  startedAt?: Instant,
];

/** A task: status, last run, failures, workers that failed it, checkpoint, and open runs. */
export type TaskRow = readonly [
  status: Step['tasks'][number]['status'],
  lastRun: number,
  failures: number,
  failedOn: readonly string[],
  checkpoint: string,
  runs: readonly RunRow[],
  /** Losses of workers that ran the task; absent if there are none or an earlier version wrote the row. */
  losses?: readonly LossRow[],
];

/** A step: its tasks, and for a gang the numbers of its failed runs. */
export interface StepRow {
  readonly tasks: readonly TaskRow[];
  readonly failedGangRuns: readonly number[];
}

/** The complete state of a job. */
export interface JobImage {
  readonly spec: JobSpec;
  readonly acceptedAtWall: Instant;
  readonly remaining: number;
  readonly cancelled: boolean;
  readonly failed: boolean;
  /** Why the job has failed; absent if an earlier version wrote the image. */
  readonly failure?: FailureReason | undefined;
  readonly begun: boolean;
  /** Steps by occurrence number. */
  readonly occurrences: readonly (readonly [number, readonly StepRow[]])[];
}

/** Returns the image of a job. */
export function imageOf(job: Job, { journalTime }: JobsState): JobImage {
  const {
    acceptedAtWall,
    remaining,
    cancelled,
    failure,
    hasStarted: begun,
  } = job;
  const failed = failure !== undefined;
  if (isFinished(job) && !hasOpenRuns(job)) {
    const compact = compactImageOf(job);
    return { ...compact, remaining, cancelled, failed, failure, begun };
  }
  const { spec } = job;
  const occurrences = [...job.occurrences.values()].map(
    ({ number, steps }) =>
      [number, steps.map(step => stepRow(step, journalTime))] as const,
  );
  return {
    spec,
    acceptedAtWall,
    remaining,
    cancelled,
    failed,
    failure,
    begun,
    occurrences,
  };
}

/** Returns an image with only the state of a finished job, all that callers ask for: a tenth of the bytes. */
function compactImageOf({
  spec,
  acceptedAtWall,
}: Job): Pick<JobImage, 'spec' | 'acceptedAtWall' | 'occurrences'> {
  const compact = { ...spec, payload: '', steps: [], repetition: undefined };
  return { spec: compact, acceptedAtWall, occurrences: [] };
}

function stepRow(
  { tasks, failedGangRuns }: Step,
  journalTime: JournalTime,
): StepRow {
  return {
    tasks: tasks.map(task => [
      task.status,
      task.lastRun,
      task.failures,
      [...task.failedOn],
      task.checkpoint,
      task.runs.map(run => runRow(run, journalTime)),
      ...lossRows(task),
    ]),
    failedGangRuns: [...failedGangRuns],
  };
}

function runRow(
  { number, worker, startMoment }: Run,
  journalTime: JournalTime,
): RunRow {
  const ageMs = Math.max(0, journalTime.now - startMoment.nextRecordSlow);
  const startedAt = startTimeOf(worker);
  const row = [number, workerIdOf(worker), ageMs] as const;
  return startedAt === undefined ? row : [...row, startedAt];
}

/** Returns no column if there are no losses, as for most tasks. */
function lossRows({ lossHistory }: Task): [] | [LossRow[]] {
  const rows = lossHistory.losses.map(lossRow);
  return rows.length === 0 ? [] : [rows];
}

/**
 * Adds a restated job if it is unknown, or if only a part of its records may be known; otherwise its state is already
 * up to date.
 */
export function applyImage(state: JobsState, image: JobImage): void {
  const { id } = image.spec;
  const known = state.jobs.get(id);
  if (known !== undefined && !state.fragments.has(known)) {
    if (image.cancelled) {
      // The inbox may have dropped the cancellation since.
      cancelJob(state, known);
    }
    return;
  }
  const isSubmittedAgain =
    known !== undefined && state.submittedAgain.has(known);
  if (known !== undefined) {
    removeJob(state, known);
  }
  const job = newJob(
    image.spec,
    image.acceptedAtWall,
    known?.receivedAt ?? state.now,
    known?.arrival ?? state.jobs.size,
  );
  job.isSubmissionRead = known?.isSubmissionRead ?? false;
  const isCancelled = known?.cancelled ?? state.cancelledUnknown.delete(id);
  job.cancelled = image.cancelled || isCancelled;
  job.failure = image.failed ? (image.failure ?? 'attempts_spent') : undefined;
  job.hasStarted = image.begun;
  job.remaining = image.remaining;
  state.jobs.set(id, job);
  state.changedJobs?.add(job);
  if (isSubmittedAgain) {
    state.submittedAgain.add(job);
  }
  for (const [number, rows] of image.occurrences) {
    const occurrence = occurrenceOf(job, number);
    occurrence.steps.forEach((step, at) => {
      const row = rows[at];
      if (row !== undefined) {
        restoreStep(state, step, row);
      }
    });
    occurrence.remaining = occurrence.steps.filter(
      ({ remaining }) => remaining > 0,
    ).length;
  }
  if (!isFinished(job)) {
    state.openJobs.add(job);
  }
}

function restoreStep(state: JobsState, step: Step, row: StepRow): void {
  row.failedGangRuns.forEach(run => step.failedGangRuns.add(run));
  step.tasks.forEach((task, at) => {
    const found = row.tasks[at];
    if (found === undefined) {
      return;
    }
    const [status, lastRun, failures, failedOn, checkpoint, runs, losses] =
      found;
    runs.forEach(([number, id, ageMs = 0, startedAt]) => {
      const worker = incarnationOf(
        id,
        isStartTime(startedAt) ? startedAt : undefined,
      );
      const run = openRun(state, task, number, worker);
      const at = state.journalTime.now - ageMs;
      run.startMoment = { nextRecordSlow: at, previousRecordFast: -Infinity };
    });
    setTaskStatus(task, status);
    task.lastRun = lastRun;
    task.failures = failures;
    task.checkpoint = checkpoint;
    task.endedAt = status === 'waiting' && lastRun > 0 ? state.now : Infinity;
    failedOn.forEach(worker => task.failedOn.add(worker));
    if (losses !== undefined) {
      addLosses(state, task, losses.map(parseLoss));
    }
  });
  step.remaining = step.tasks.filter(({ status }) => status !== 'done').length;
}
