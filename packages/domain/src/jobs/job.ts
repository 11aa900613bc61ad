/** The job aggregate: occurrences, steps, tasks and the runs of each task. */
import type { Instant, Millis } from '../core/time.js';
import type { JournalMoment } from './journal-time.js';
import { emptyLossHistory, type LossHistory } from './loss.js';
import type { JobSpec, StepSpec } from './spec.js';

/** The status of a job as callers see it. */
export type JobStatus =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Why a job has failed: a task has used up its attempts, or too many workers were lost while running it. */
export type FailureReason = 'attempts_spent' | 'workers_lost';

/** The state of a job that is reported to callers, with the reason if it has failed. */
export interface JobState {
  readonly status: JobStatus;
  readonly failure?: FailureReason;
}

/** State of a run that is not in the journal; only the leader keeps it. */
export interface RunProgress {
  /** Monotonic time at which the start command was sent or the run was first seen. */
  since: Instant;
  /** Whether the worker has confirmed the run. */
  confirmed: boolean;
  /** Whether a report of the worker's incarnation has listed the run as running. */
  listed: boolean;
  /** Whether a stop command was sent. */
  stopping: boolean;
  /** Monotonic time at which the worker confirmed the stop; infinite before. */
  stopConfirmedAt: Instant;
  /** Completed share of the work in percent, 0 to 100. */
  percent: number;
  /** Monotonic time at which `percent` last changed. */
  percentSince: Instant;
  /** Monotonic time of the newest report that listed the run. */
  seenAt: Instant;
  /** Newest checkpoint; empty if there is none. */
  checkpoint: string;
  /** Tail latency in milliseconds for a serving task, processor use in thousandths of a core for others. */
  reading: number;
  /** Speed limit in percent of full speed, 0 to 100; undefined while unknown. */
  allowedPercent: number | undefined;
  /** Monotonic time at which that limit was ordered. */
  allowedSince: Instant;
  /** Time lost to speed limits before `allowedSince`. */
  throttledMs: Millis;
  /** Completed share at `since`: more than 0 only if an earlier leader ordered the run. */
  initialPercent: number;
}

/** Returns the progress of a run that was ordered or first seen at `now`. */
export function newProgress(now: Instant): RunProgress {
  return {
    since: now,
    confirmed: false,
    listed: false,
    stopping: false,
    stopConfirmedAt: Infinity,
    percent: 0,
    percentSince: now,
    seenAt: now,
    checkpoint: '',
    reading: 0,
    allowedPercent: 100,
    allowedSince: now,
    throttledMs: 0,
    initialPercent: 0,
  };
}

/** One run of a task on a worker. */
export interface Run {
  readonly task: Task;
  readonly number: number;
  /** Last known incarnation of its worker. */
  worker: string;
  /** Monotonic time at which this host learned of its start. */
  readonly openedAt: Instant;
  /** Start of the run in journal time. */
  startMoment: JournalMoment;
  progress: RunProgress | undefined;
}

/** Whether a task waits to be started, has an open run, or has ended for good. */
export type TaskStatus = 'waiting' | 'running' | 'done';

/** A task of one occurrence of a step. */
export interface Task {
  readonly step: Step;
  readonly index: number;
  /** Changed by `setTaskStatus`. */
  status: TaskStatus;
  /** Runs that have not ended; more than one only if speculative copies are allowed. */
  readonly runs: Run[];
  /** Highest run number assigned so far. */
  lastRun: number;
  /** Number of failed runs. */
  failures: number;
  /** Workers on which a run failed. */
  readonly failedOn: Set<string>;
  /** Workers that were lost while they ran the task. */
  readonly lossHistory: LossHistory;
  /** Newest checkpoint of a run that has ended; empty if there is none. */
  checkpoint: string;
  /** Monotonic time at which the task last became unavailable because a run ended; infinite before. */
  endedAt: Instant;
}

/** One occurrence of a step. */
export interface Step {
  readonly occurrence: Occurrence;
  readonly number: number;
  readonly spec: StepSpec;
  readonly tasks: Task[];
  /** Number of tasks that are not done. */
  remaining: number;
  /** Number of tasks that wait to be started. */
  waiting: number;
  /** Number of open runs by worker. */
  readonly openRunsByWorker: Map<string, number>;
  /** Run numbers of a gang in which a member failed. */
  readonly failedGangRuns: Set<number>;
}

/** One execution of all steps of a job. */
export interface Occurrence {
  readonly job: Job;
  readonly number: number;
  readonly steps: Step[];
  /** Number of steps that are not done. */
  remaining: number;
}

/** A job. */
export interface Job {
  readonly spec: JobSpec;
  readonly acceptedAtWall: Instant;
  /** Monotonic time at which this host learned of the job. */
  readonly receivedAt: Instant;
  /** Position in the order of arrival in the inbox. */
  readonly arrival: number;
  /** Whether this host has read its submission; a job may be known only from a record that restates it. */
  isSubmissionRead: boolean;
  /** Monotonic time at which the leader first saw the job. */
  seenAt: Instant | undefined;
  readonly occurrences: Map<number, Occurrence>;
  /** Number of occurrences that are not done, including those not created yet. */
  remaining: number;
  cancelled: boolean;
  /** Why the job has failed; undefined if it has not. */
  failure: FailureReason | undefined;
  /** Monotonic time at which the job was first found to be finished. */
  finishedAt: Instant | undefined;
  /** Monotonic time at which this leader last restated the job. */
  restatedAt: Instant | undefined;
  /** Whether a worker has confirmed the start of a run; a recorded start may wait or never be executed. */
  hasStarted: boolean;
}

/** Creates a job without occurrences. */
export function newJob(
  spec: JobSpec,
  acceptedAtWall: Instant,
  receivedAt: Instant,
  arrival: number,
): Job {
  return {
    spec,
    acceptedAtWall,
    receivedAt,
    arrival,
    isSubmissionRead: false,
    seenAt: undefined,
    occurrences: new Map(),
    remaining: Math.max(1, spec.repetition?.times ?? 1),
    cancelled: false,
    failure: undefined,
    finishedAt: undefined,
    restatedAt: undefined,
    hasStarted: false,
  };
}

/** Returns occurrence `number` of the job and creates it if necessary. */
export function occurrenceOf(job: Job, number: number): Occurrence {
  const known = job.occurrences.get(number);
  if (known !== undefined) {
    return known;
  }
  const occurrence: Occurrence = {
    job,
    number,
    steps: [],
    remaining: job.spec.steps.length,
  };
  job.spec.steps.forEach((spec, at) => {
    occurrence.steps.push(newStep(occurrence, spec, at));
  });
  job.occurrences.set(number, occurrence);
  return occurrence;
}

function newStep(occurrence: Occurrence, spec: StepSpec, number: number): Step {
  const step: Step = {
    occurrence,
    number,
    spec,
    tasks: [],
    remaining: spec.tasks,
    waiting: spec.tasks,
    openRunsByWorker: new Map(),
    failedGangRuns: new Set(),
  };
  for (let index = 0; index < spec.tasks; index += 1) {
    step.tasks.push({
      step,
      index,
      status: 'waiting',
      runs: [],
      lastRun: 0,
      failures: 0,
      failedOn: new Set(),
      lossHistory: emptyLossHistory(),
      checkpoint: '',
      endedAt: Infinity,
    });
  }
  return step;
}

/** Tells whether every step that this one depends on is done. */
export function isReady(step: Step): boolean {
  const { steps } = step.occurrence;
  return step.spec.after.every(at => (steps[at]?.remaining ?? 0) === 0);
}

/** Tells whether a job is finished: none of its tasks may be started any more. */
export function isFinished(job: Job): boolean {
  return job.cancelled || job.failure !== undefined || job.remaining === 0;
}

/** Changes the status of a task. */
export function setTaskStatus(task: Task, status: TaskStatus): void {
  const { step } = task;
  step.waiting += Number(status === 'waiting') - Number(isWaiting(task));
  task.status = status;
}

/** Tells whether a task waits to be started. */
export function isWaiting({ status }: Task): boolean {
  return status === 'waiting';
}

/** Returns the tasks of a step that wait to be started. */
export function waitingTasks({ tasks }: Step): Task[] {
  return tasks.filter(isWaiting);
}

/** Tells whether a task is known and still has to be completed. */
export function isAwaitingCompletion(task: Task | undefined): task is Task {
  return (
    task !== undefined &&
    task.status !== 'done' &&
    !task.step.spec.lasting &&
    !isFinished(task.step.occurrence.job)
  );
}

/** Returns the status of a job as callers see it. */
export function statusOf(job: Job): JobStatus {
  if (job.remaining === 0) {
    return 'completed';
  }
  if (job.cancelled) {
    return 'cancelled';
  }
  if (job.failure !== undefined) {
    return 'failed';
  }
  return job.hasStarted ? 'running' : 'queued';
}

/** Returns the state of a job as it is reported to callers. */
export function reportedStateOf(job: Job): JobState {
  const status = statusOf(job);
  const { failure } = job;
  return status === 'failed' && failure !== undefined
    ? { status, failure }
    : { status };
}
