/** The job aggregate: occurrences of steps of tasks, and the runs of each task. */
import type { Instant } from '../core/time.js';
import type { JournalMoment } from './journal-time.js';
import { noBlame, type Blame } from './loss.js';
import type { JobSpec, StepSpec } from './spec.js';

/** A job's state as callers see it. */
export type JobStatus =
  'queued' | 'running' | 'completed' | 'failed' | 'cancelled';

/** Why a job has failed: a task has failed as often as it may, or has cost too many workers. */
export type FailureReason = 'attempts_spent' | 'workers_lost';

/** What callers are told of a job; the reason where it has failed. */
export interface JobState {
  readonly status: JobStatus;
  readonly failure?: FailureReason;
}

/** What is known of a run beyond the journal; only the leader keeps it. */
export interface RunProgress {
  /** Monotonic time at which the order was sent or the run was first seen. */
  since: Instant;
  /** Whether the worker has confirmed it. */
  confirmed: boolean;
  /** Whether a report of its worker's incarnation has listed it as at work. */
  listed: boolean;
  /** Whether a stop was ordered. */
  stopping: boolean;
  /** Monotonic time at which the worker confirmed the stop; infinite before. */
  stopConfirmedAt: Instant;
  /** Share of the work done, 0 to 100. */
  percent: number;
  /** Monotonic time at which `percent` last changed. */
  percentSince: Instant;
  /** Monotonic time of the newest report that listed it. */
  seenAt: Instant;
  /** Newest checkpoint; empty when there is none. */
  checkpoint: string;
  /** Tail latency in milliseconds of a serving task, processor use in thousandths of a core of another. */
  reading: number;
  /** Share of its speed that it is allowed, 0 to 100; undefined while that is not known. */
  allowedPercent: number | undefined;
  /** Monotonic time at which that share was ordered. */
  allowedSince: Instant;
}

/** Returns the progress of a run that was ordered or first seen `now`. */
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
  };
}

/** One run of a task on a worker. */
export interface Run {
  readonly task: Task;
  readonly number: number;
  /** Incarnation of the worker where it is, as far as is known. */
  worker: string;
  /** Monotonic time at which this host learnt of its start. */
  readonly openedAt: Instant;
  /** Its start in journal time. */
  opened: JournalMoment;
  progress: RunProgress | undefined;
}

/** A task of one occurrence of a step. */
export interface Task {
  readonly step: Step;
  readonly index: number;
  status: 'waiting' | 'running' | 'done';
  /** Runs that have not ended; more than one only where copies are allowed. */
  readonly runs: Run[];
  /** Highest run number given out. */
  lastRun: number;
  /** Runs that ended as failed. */
  failures: number;
  /** Workers on which a run failed. */
  readonly failedOn: Set<string>;
  /** What the loss of workers under its runs says of it. */
  readonly blame: Blame;
  /** Newest checkpoint of an ended run; empty when there is none. */
  checkpoint: string;
  /** Monotonic time at which this host learnt that its last run has ended; infinite before. */
  endedAt: Instant;
}

/** One occurrence of a step. */
export interface Step {
  readonly occurrence: Occurrence;
  readonly number: number;
  readonly spec: StepSpec;
  readonly tasks: Task[];
  /** Tasks that are not done. */
  remaining: number;
  /** Open runs by worker. */
  readonly openRunsByWorker: Map<string, number>;
  /** Numbers of a gang's runs in which a member failed. */
  readonly failedGangRuns: Set<number>;
}

/** One run through all steps of a job. */
export interface Occurrence {
  readonly job: Job;
  readonly number: number;
  readonly steps: Step[];
  /** Steps that are not done. */
  remaining: number;
}

/** A job. */
export interface Job {
  readonly spec: JobSpec;
  readonly acceptedAtWall: Instant;
  /** Monotonic time at which this host learnt of it. */
  readonly receivedAt: Instant;
  /** Order of arrival in the inbox. */
  readonly arrival: number;
  /** Monotonic time at which the leader first saw it. */
  seenAt: Instant | undefined;
  readonly occurrences: Map<number, Occurrence>;
  /** Occurrences that are not done, those not created yet included. */
  remaining: number;
  cancelled: boolean;
  /** Why it has failed; undefined for one that has not. */
  failure: FailureReason | undefined;
  /** Monotonic time at which it was first found to be over. */
  overAt: Instant | undefined;
  /** Monotonic time at which this leader last restated it. */
  restatedAt: Instant | undefined;
  /** Whether a worker is known to have begun a run; a recorded start may wait or never be carried out. */
  hasStarted: boolean;
}

/** Creates a job without occurrences. */
export function newJob(
  spec: JobSpec,
  acceptedAtWall: Instant,
  learntAt: Instant,
  arrival: number,
): Job {
  return {
    spec,
    acceptedAtWall,
    receivedAt: learntAt,
    arrival,
    seenAt: undefined,
    occurrences: new Map(),
    remaining: Math.max(1, spec.repetition?.times ?? 1),
    cancelled: false,
    failure: undefined,
    overAt: undefined,
    restatedAt: undefined,
    hasStarted: false,
  };
}

/** Returns occurrence `number` of the job, created when there is none yet. */
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
      blame: noBlame(),
      checkpoint: '',
      endedAt: Infinity,
    });
  }
  return step;
}

/** Tells whether every step before this one is done. */
export function isReady(step: Step): boolean {
  const { steps } = step.occurrence;
  return step.spec.after.every(at => (steps[at]?.remaining ?? 0) === 0);
}

/** Tells whether nothing of the job is to be started any more. */
export function isFinished(job: Job): boolean {
  return job.cancelled || job.failure !== undefined || job.remaining === 0;
}

/** Tells whether a task waits to be started. */
export function isWaiting({ status }: Task): boolean {
  return status === 'waiting';
}

/** Returns the tasks of a step that wait to be started. */
export function waitingTasks({ tasks }: Step): Task[] {
  return tasks.filter(isWaiting);
}

/** Tells whether a task is known whose being done is still waited for. */
export function isAwaitingCompletion(task: Task | undefined): task is Task {
  return (
    task !== undefined &&
    task.status !== 'done' &&
    !task.step.spec.lasting &&
    !isFinished(task.step.occurrence.job)
  );
}

/** Returns the state that callers are shown. */
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

/** Returns what callers are told. */
export function reportedStateOf(job: Job): JobState {
  const status = statusOf(job);
  const { failure } = job;
  return status === 'failed' && failure !== undefined
    ? { status, failure }
    : { status };
}
