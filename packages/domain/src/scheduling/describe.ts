/** Status of jobs for operators. */
import { freshCount, type Job } from './job.js';
import type { FinishedJob } from './shard.js';
import type { ScheduleState } from './state.js';
import { placementOf, type Task } from './task.js';

/** State of a job, or of its part in the shards at hand. */
export type JobPhase =
  | 'queued'
  | 'running'
  | 'held'
  | 'unschedulable'
  | 'cancelling'
  | 'cancelled'
  | 'failed'
  | 'completed';

/** Status of one task. */
export interface TaskDescription {
  readonly id: string;
  readonly state: Task['state']['kind'];
  readonly attempt: number;
  readonly worker: string | undefined;
  readonly progress: number;
  readonly reason: string | undefined;
}

/** Status of a job: counts of all its tasks here, and the first of those that were ever started. */
export interface JobDescription {
  readonly job: string;
  readonly phase: JobPhase;
  readonly reason: string | undefined;
  readonly queued: number;
  readonly running: number;
  readonly held: number;
  readonly completed: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly moved: number;
  readonly tasks: readonly TaskDescription[];
}

/** Tasks that a description lists. */
const TASKS_LISTED = 1_000;

/** Describes a job in the shards of `state`; undefined when none has or remembers it. */
export function describeJob(
  state: ScheduleState,
  name: string,
): JobDescription | undefined {
  for (const schedule of state.shards.values()) {
    const job = schedule.jobs.get(name);
    if (job !== undefined) {
      return describeLive(job);
    }
  }
  for (const schedule of state.shards.values()) {
    const finished = schedule.finished.get(name);
    if (finished !== undefined) {
      return describeFinished(name, finished);
    }
  }
  return undefined;
}

function describeLive(job: Job): JobDescription {
  const tasks = [...job.tasks.values()];
  const held = tasks.filter(task => task.state.kind === 'held').length;
  const counts = {
    queued: job.queued.size + freshCount(job),
    running: job.placed,
    held,
  };
  return {
    job: job.spec.name,
    phase: livePhase(job, counts),
    reason: job.heldFor ?? job.unschedulableFor,
    ...counts,
    ...job.tally,
    tasks: tasks.slice(0, TASKS_LISTED).map(describeTask),
  };
}

function livePhase(
  job: Job,
  counts: { queued: number; running: number; held: number },
): JobPhase {
  if (job.cancelled) {
    return 'cancelling';
  }
  if (job.heldFor !== undefined) {
    return 'held';
  }
  if (counts.running > 0) {
    return 'running';
  }
  if (job.unschedulableFor !== undefined) {
    return 'unschedulable';
  }
  return counts.queued === 0 && counts.held > 0 ? 'held' : 'queued';
}

function describeTask(task: Task): TaskDescription {
  const { state } = task;
  return {
    id: task.id,
    state: state.kind,
    attempt: task.attempts,
    worker: placementOf(task)?.worker,
    progress: task.progress,
    reason: 'reason' in state ? state.reason : undefined,
  };
}

function describeFinished(name: string, finished: FinishedJob): JobDescription {
  return {
    job: name,
    phase: finishedPhase(finished),
    reason: undefined,
    queued: 0,
    running: 0,
    held: 0,
    ...finished,
    tasks: [],
  };
}

function finishedPhase(finished: FinishedJob): JobPhase {
  if (finished.cancelled > 0) {
    return 'cancelled';
  }
  return finished.failed > 0 ? 'failed' : 'completed';
}
