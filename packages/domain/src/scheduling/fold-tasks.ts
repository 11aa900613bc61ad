/** Fold of the decisions on single tasks. */
import { maxResources } from '../core/resources.js';

import { rememberKey } from './bounded-map.js';
import { addJob, touch } from './fold-jobs.js';
import { parseTaskId, taskId } from './ids.js';
import {
  holdTask,
  holds,
  indexTask,
  peekTask,
  takeFresh,
  type Job,
} from './job.js';
import type { Decision, DecisionBody } from './records.js';
import {
  JOBS_REMEMBERED,
  learnRunTime,
  markEvicting,
  occupy,
  retireIfDrained,
  vacate,
  workerLoad,
  type ShardSchedule,
} from './shard.js';
import { epochAt, type ScheduleState } from './state.js';
import {
  evictTask,
  newTask,
  placementOf,
  requeueTask,
  startTask,
  type Placement,
  type Task,
} from './task.js';
import {
  APPLIED,
  isVerdict,
  schedulerOf,
  voided,
  type Verdict,
} from './verdict.js';
import { addFailure, addSuccess } from './worker.js';

type TaskDecision = Extract<
  Decision,
  {
    kind:
      | 'task_started'
      | 'task_evicting'
      | 'task_ended'
      | 'task_held'
      | 'task_moved';
  }
>;

/** Wait before the next attempt after the first failure; doubles with each further one. */
const BACKOFF_MS = 5_000;
const BACKOFF_MAX_MS = 600_000;

/** Applies a decision on a task. */
export function applyTaskDecision(
  state: ScheduleState,
  decision: TaskDecision,
): Verdict {
  switch (decision.kind) {
    case 'task_started':
      return onTask(state, decision.body, start);
    case 'task_evicting':
      return onTask(state, decision.body, evict);
    case 'task_ended':
      return onTask(state, decision.body, end);
    case 'task_held':
      return onTask(state, decision.body, hold);
    case 'task_moved':
      return move(state, decision.body);
  }
}

/** Changes a task of a job; false when the state does not allow it. */
type TaskChange<B> = (
  schedule: ShardSchedule,
  job: Job,
  index: number,
  body: B,
) => boolean;

function onTask<B extends { shard: string; epoch: number; task: string }>(
  state: ScheduleState,
  body: B,
  change: TaskChange<B>,
): Verdict {
  const schedule = schedulerOf(state, body.shard, body.epoch);
  if (isVerdict(schedule)) {
    return schedule;
  }
  const name = parseTaskId(body.task);
  const job = schedule.jobs.get(name.job);
  if (job === undefined || !holds(job, name.index)) {
    return voided('not_found');
  }
  if (!change(schedule, job, name.index, body)) {
    return voided('out_of_turn');
  }
  indexTask(job, name.index);
  touch(schedule, job);
  retireIfDrained(schedule, job);
  return APPLIED;
}

function start(
  schedule: ShardSchedule,
  job: Job,
  index: number,
  body: DecisionBody<'task_started'>,
): boolean {
  const known = peekTask(job, index, body.task);
  if (job.cancelled || job.heldFor !== undefined || known === undefined) {
    return false;
  }
  const { worker, attempt, checkpoint, atWall } = body;
  const declared = job.spec.size;
  const size =
    body.size === undefined ? declared : maxResources(declared, body.size);
  const placement = { worker, size, startedAtWall: atWall };
  if (!startTask(known, attempt, checkpoint, placement)) {
    return false;
  }
  takeFresh(job, index, 1);
  job.tasks.set(index, known);
  job.unschedulableFor = undefined;
  job.servedAtWall = Math.max(job.servedAtWall, atWall);
  occupy(schedule, job, known, placement);
  return true;
}

function evict(
  schedule: ShardSchedule,
  job: Job,
  index: number,
  body: DecisionBody<'task_evicting'>,
): boolean {
  const task = job.tasks.get(index);
  if (
    task === undefined ||
    !evictTask(task, body.attempt, body.reason, body.atWall)
  ) {
    return false;
  }
  markEvicting(schedule, task);
  return true;
}

function end(
  schedule: ShardSchedule,
  job: Job,
  index: number,
  body: DecisionBody<'task_ended'>,
): boolean {
  const task = job.tasks.get(index);
  const placement = task === undefined ? undefined : placementOf(task);
  if (
    task === undefined ||
    placement === undefined ||
    body.attempt !== task.attempts
  ) {
    return false;
  }
  vacate(schedule, job, task);
  task.checkpoint = body.checkpoint ?? task.checkpoint;
  task.progress = body.progress ?? task.progress;
  const ranMs = Math.max(0, body.atWall - placement.startedAtWall);
  switch (body.result) {
    case 'completed':
      learnRunTime(schedule, job, ranMs / 1_000);
      succeed(schedule, job, placement);
      finish(job, index, 'completed');
      return true;
    case 'failed':
      fail(schedule, job, task, placement, body.atWall);
      return true;
    case 'lost':
      lose(job, task, body.atWall);
      return true;
    case 'stopped':
      queueAgain(job, task, body.atWall, body.atWall);
      return true;
  }
}

function succeed(
  schedule: ShardSchedule,
  job: Job,
  placement: Placement,
): void {
  job.failedOn.clear();
  const load = schedule.workers.get(placement.worker);
  if (load !== undefined) {
    addSuccess(load, placement.startedAtWall);
  }
}

function finish(
  job: Job,
  index: number,
  result: 'completed' | 'failed' | 'cancelled',
): void {
  job.tasks.delete(index);
  job.tally[result] += 1;
}

function fail(
  schedule: ShardSchedule,
  job: Job,
  task: Task,
  placement: Placement,
  atWall: number,
): void {
  const { worker, startedAtWall } = placement;
  task.failures += 1;
  job.failedOn.add(worker);
  const failure = { job: job.spec.name, task: task.id, atWall };
  addFailure(workerLoad(schedule, worker), failure, startedAtWall);
  if (task.failures >= job.spec.maxAttempts && !job.cancelled) {
    finish(job, task.index, 'failed');
    return;
  }
  queueAgain(job, task, atWall, atWall + backoffMs(task.failures));
}

function lose(job: Job, task: Task, atWall: number): void {
  task.losses += 1;
  const spent = task.losses >= job.spec.maxAttempts;
  if (job.cancelled || (job.spec.onLostWorker === 'resume' && !spent)) {
    queueAgain(job, task, atWall, atWall);
    return;
  }
  const reason = spent
    ? `Its worker was lost ${task.losses} times.`
    : 'Its worker was lost.';
  task.state = { kind: 'held', reason };
}

function queueAgain(
  job: Job,
  task: Task,
  atWall: number,
  readyAtWall: number,
): void {
  if (job.cancelled) {
    finish(job, task.index, 'cancelled');
    return;
  }
  requeueTask(task, atWall, readyAtWall);
}

/** Returns the wait in milliseconds after the `failures`-th failure. */
export function backoffMs(failures: number): number {
  return Math.min(BACKOFF_MAX_MS, BACKOFF_MS * 2 ** (failures - 1));
}

function hold(
  _schedule: ShardSchedule,
  job: Job,
  index: number,
  body: DecisionBody<'task_held'>,
): boolean {
  const known = peekTask(job, index, body.task);
  if (known?.state.kind !== 'queued' || body.round !== job.round) {
    return false;
  }
  const task = holdTask(job, index, body.task);
  if (task !== undefined) {
    task.state = { kind: 'held', reason: body.reason };
  }
  return true;
}

function move(state: ScheduleState, body: DecisionBody<'task_moved'>): Verdict {
  if (body.epoch !== epochAt(state, body.fromShard)) {
    return voided('superseded');
  }
  const cancelled = state.cancelled.has(body.job.name);
  if (cancelled || body.fromShard === body.toShard || !isWholeMove(body)) {
    return voided('out_of_turn');
  }
  const from = state.shards.get(body.fromShard);
  if (from !== undefined && !moveOut(from, body)) {
    return voided('out_of_turn');
  }
  const to = state.shards.get(body.toShard);
  if (to === undefined) {
    return from === undefined ? { kind: 'skipped' } : APPLIED;
  }
  return moveIn(to, body) ? APPLIED : voided('duplicate');
}

/** Tells whether the record names tasks of its job, and several only when never started. */
function isWholeMove(body: DecisionBody<'task_moved'>): boolean {
  const { job, index } = parseTaskId(body.task);
  const inside = job === body.job.name && index + body.count <= body.job.tasks;
  const untouched = body.move === 0 && body.attempts === 0;
  return inside && (body.count === 1 || untouched);
}

function moveOut(
  schedule: ShardSchedule,
  body: DecisionBody<'task_moved'>,
): boolean {
  const { job: name, index } = parseTaskId(body.task);
  const job = schedule.jobs.get(name);
  if (job === undefined || !release(job, index, body)) {
    return false;
  }
  job.tally.moved += body.count;
  touch(schedule, job);
  retireIfDrained(schedule, job);
  return true;
}

function release(
  job: Job,
  index: number,
  body: DecisionBody<'task_moved'>,
): boolean {
  if (job.cancelled) {
    return false;
  }
  const task = job.tasks.get(index);
  if (task === undefined) {
    return body.move === 0 && takeFresh(job, index, body.count);
  }
  const current =
    task.state.kind === 'queued' &&
    task.moves === body.move &&
    task.attempts === body.attempts &&
    body.count === 1;
  if (!current) {
    return false;
  }
  job.tasks.delete(index);
  indexTask(job, index);
  return true;
}

function moveIn(
  schedule: ShardSchedule,
  body: DecisionBody<'task_moved'>,
): boolean {
  const arrival = `${body.task}:${body.move}`;
  if (!rememberKey(schedule.arrivals, arrival, true, JOBS_REMEMBERED)) {
    return false;
  }
  const { job: name, index } = parseTaskId(body.task);
  const job =
    schedule.jobs.get(name) ?? addJob(schedule, body.job, body.submittedAtWall);
  if (holds(job, index)) {
    return false;
  }
  for (let i = index; i < index + body.count; i++) {
    job.tasks.set(i, arrivedTask(i, body));
    indexTask(job, i);
  }
  touch(schedule, job);
  return true;
}

function arrivedTask(index: number, body: DecisionBody<'task_moved'>): Task {
  return {
    ...newTask(taskId(body.job.name, index), index, body.submittedAtWall),
    attempts: body.attempts,
    failures: body.failures,
    losses: body.losses,
    moves: body.move + 1,
    checkpoint: body.checkpoint,
    progress: body.progress,
  };
}
