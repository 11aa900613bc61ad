/** Fold of the decisions on whole jobs. */
import { rememberKey } from './bounded-map.js';
import { freshCount, indexTask, newJob, type Job } from './job.js';
import type { Decision, DecisionBody } from './records.js';
import { markEvicting, retireIfDrained, type ShardSchedule } from './shard.js';
import {
  CANCELLED_REMEMBERED,
  HOMES_REMEMBERED,
  type ScheduleState,
} from './state.js';
import type { Task } from './task.js';
import {
  APPLIED,
  isVerdict,
  schedulerOf,
  voided,
  type Verdict,
} from './verdict.js';

type JobDecision = Extract<
  Decision,
  {
    kind:
      | 'job_submitted'
      | 'job_cancelled'
      | 'job_homed'
      | 'job_released'
      | 'job_held'
      | 'job_unschedulable';
  }
>;

/** Applies a decision on a whole job. */
export function applyJobDecision(
  state: ScheduleState,
  decision: JobDecision,
): Verdict {
  switch (decision.kind) {
    case 'job_submitted':
      return submitJob(state, decision.body);
    case 'job_cancelled':
      return cancelJob(state, decision.body);
    case 'job_homed':
      return homeJob(state, decision.body);
    case 'job_released':
      return releaseJob(state, decision.body);
    case 'job_held':
      return holdJob(state, decision.body);
    case 'job_unschedulable':
      return refuseJob(state, decision.body);
  }
}

function submitJob(
  state: ScheduleState,
  body: DecisionBody<'job_submitted'>,
): Verdict {
  const { job: spec, shard, submittedAtWall } = body;
  if (!rememberKey(state.homes, spec.name, shard, HOMES_REMEMBERED)) {
    return voided('duplicate');
  }
  const schedule = state.shards.get(shard);
  if (schedule === undefined) {
    return { kind: 'skipped' };
  }
  if (schedule.jobs.has(spec.name) || schedule.finished.has(spec.name)) {
    return voided('duplicate');
  }
  const job = addJob(schedule, spec, submittedAtWall);
  job.fresh.push({ next: 0, end: spec.tasks });
  if (state.cancelled.has(spec.name)) {
    cancelHere(schedule, job);
  }
  return APPLIED;
}

function homeJob(
  state: ScheduleState,
  { job, shard }: DecisionBody<'job_homed'>,
): Verdict {
  const isFirst = rememberKey(state.homes, job, shard, HOMES_REMEMBERED);
  return isFirst ? APPLIED : voided('duplicate');
}

/** Adds a job without tasks to a shard. */
export function addJob(
  schedule: ShardSchedule,
  spec: Job['spec'],
  submittedAtWall: number,
): Job {
  const job = newJob(spec, submittedAtWall, schedule.arrivalCount);
  schedule.arrivalCount += 1;
  schedule.jobs.set(spec.name, job);
  touch(schedule, job);
  return job;
}

/** Notes that a job's queue may have changed. */
export function touch(schedule: ShardSchedule, job: Job): void {
  schedule.version += 1;
  schedule.touched.add(job);
}

function cancelJob(
  state: ScheduleState,
  body: DecisionBody<'job_cancelled'>,
): Verdict {
  const name = body.job;
  if (!rememberKey(state.cancelled, name, true, CANCELLED_REMEMBERED)) {
    return voided('duplicate');
  }
  for (const schedule of state.shards.values()) {
    const job = schedule.jobs.get(name);
    if (job !== undefined) {
      cancelHere(schedule, job);
    }
  }
  return APPLIED;
}

/** Cancels the job's tasks in one shard: those on a worker are stopped, the others are dropped. */
export function cancelHere(schedule: ShardSchedule, job: Job): void {
  job.cancelled = true;
  job.tally.cancelled += freshCount(job);
  job.fresh = [];
  for (const [index, task] of job.tasks) {
    cancelTask(schedule, job, task);

    indexTask(job, index);
  }
  touch(schedule, job);
  retireIfDrained(schedule, job);
}

function cancelTask(schedule: ShardSchedule, job: Job, task: Task): void {
  switch (task.state.kind) {
    case 'queued':
    case 'held':
      job.tasks.delete(task.index);
      job.tally.cancelled += 1;
      return;
    case 'running': {
      const { worker, size, startedAtWall } = task.state;
      const reason = 'cancelled';
      task.state = { kind: 'evicting', reason, worker, size, startedAtWall };
      markEvicting(schedule, task);
      return;
    }
    case 'evicting':
      return;
  }
}

function releaseJob(
  state: ScheduleState,
  body: DecisionBody<'job_released'>,
): Verdict {
  let found = false;
  for (const schedule of state.shards.values()) {
    const job = schedule.jobs.get(body.job);
    if (job !== undefined) {
      found = true;
      releaseHere(schedule, job);
    }
  }
  return found ? APPLIED : voided('not_found');
}

function releaseHere(schedule: ShardSchedule, job: Job): void {
  job.round += 1;
  job.heldFor = undefined;
  job.unschedulableFor = undefined;
  job.failedOn.clear();
  for (const [index, task] of job.tasks) {
    if (task.state.kind === 'held') {
      task.failures = 0;
      task.losses = 0;
      task.state = { kind: 'queued', readyAtWall: task.waitingSinceWall };
      indexTask(job, index);
    }
  }
  touch(schedule, job);
}

function holdJob(
  state: ScheduleState,
  body: DecisionBody<'job_held'>,
): Verdict {
  return onCurrentRound(state, body, job => {
    job.heldFor = body.reason;
  });
}

function refuseJob(
  state: ScheduleState,
  body: DecisionBody<'job_unschedulable'>,
): Verdict {
  return onCurrentRound(state, body, job => {
    job.unschedulableFor = body.reason;
  });
}

function onCurrentRound(
  state: ScheduleState,
  body: DecisionBody<'job_held' | 'job_unschedulable'>,
  change: (job: Job) => void,
): Verdict {
  const schedule = schedulerOf(state, body.shard, body.epoch);
  if (isVerdict(schedule)) {
    return schedule;
  }
  const job = schedule.jobs.get(body.job);
  if (job === undefined) {
    return voided('not_found');
  }
  if (job.round !== body.round || job.cancelled) {
    return voided('out_of_turn');
  }
  change(job);
  touch(schedule, job);
  return APPLIED;
}
