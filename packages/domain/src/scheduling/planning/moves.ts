/** Moves of waiting tasks to other shards of the availability zone. */
import {
  NO_RESOURCES,
  addResources,
  fits,
  subtractResources,
  type Resources,
} from '../../core/resources.js';
import type { Millis } from '../../core/time.js';
import { taskId } from '../ids.js';
import type { Job } from '../job.js';
import { decision } from '../records.js';
import type { ShardReport } from '../shard.js';
import type { Task } from '../task.js';

import { couldHold } from './could-hold.js';
import type { QueuedJob } from './memory.js';
import type { Candidate } from './order.js';
import { decide, type Round } from './round.js';

/** Queued tasks of one job that one plan moves at most; fresh tasks go in one record. */
const TASKS_PER_PLAN = 32;
/** A report older than this is not acted on. */
const REPORT_VALID_MS: Millis = 30_000;
/** Part of another shard's free room that one shard fills between two reports. */
const ROOM_SHARE = 0.5;
/** Times that a task is moved in search of room. */
const MAX_MOVES = 4;

/** Moves a job's waiting tasks to a shard that can hold them. */
export function moveJob(round: Round, entry: QueuedJob, toShard: string): void {
  const { job } = entry;
  for (const range of job.fresh) {
    moveFresh(round, job, range.next, range.end - range.next, toShard);
  }
  const queued = [...job.queued].slice(0, TASKS_PER_PLAN);
  for (const index of queued) {
    const task = job.tasks.get(index);
    if (task !== undefined) {
      moveTask(round, job, task, toShard);
    }
  }
}

function moveFresh(
  round: Round,
  job: Job,
  first: number,
  count: number,
  toShard: string,
): void {
  const id = taskId(job.spec.name, first);
  if (round.busy.has(id)) {
    return;
  }
  const made = decision('task_moved', {
    ...moveFields(round, job, toShard),
    task: id,
    count,
    move: 0,
  });
  if (decide(round, made)) {
    markBusy(round, job, first, count);
  }
}

function moveTask(
  round: Round,
  job: Job,
  task: Task,
  toShard: string,
): boolean {
  const { id } = task;
  if (round.busy.has(id)) {
    return false;
  }
  const { checkpoint } = task;
  const made = decision('task_moved', {
    ...moveFields(round, job, toShard),
    task: id,
    move: task.moves,
    attempts: task.attempts,
    failures: task.failures,
    losses: task.losses,
    progress: task.progress,
    ...(checkpoint === undefined ? {} : { checkpoint }),
  });
  markBusy(round, job, task.index, 1);
  return decide(round, made);
}

function moveFields(round: Round, job: Job, toShard: string) {
  return {
    fromShard: round.view.shard,
    toShard,
    epoch: round.view.epoch,
    job: job.spec,
    submittedAtWall: job.submittedAtWall,
  };
}

function markBusy(round: Round, job: Job, first: number, count: number): void {
  for (let index = first; index < first + count; index++) {
    round.busy.add(taskId(job.spec.name, index));
  }
}

/** Moves a task that finds no room here to a shard that lately reported some; false when none did. */
export function moveToRoom(
  round: Round,
  candidate: Candidate,
  size: Resources,
): boolean {
  const { entry, task } = candidate;
  if (task.moves >= MAX_MOVES) {
    return false;
  }
  const open = round.view.siblings.filter(
    sibling =>
      hasRoom(round, sibling.shard, size) &&
      couldHold(sibling.workers, entry.job),
  );
  const target = open[Math.floor(round.random() * open.length)];
  if (target === undefined) {
    return false;
  }
  const moved = moveTask(round, entry.job, task, target.shard);
  const report = round.state.reports.get(target.shard);
  if (moved && report !== undefined) {
    const amount = addResources(movedSince(round, report), size);
    const { movedTo } = round.schedule.planning;
    movedTo.set(target.shard, { atWall: report.atWall, amount });
  }
  return moved;
}

function hasRoom(round: Round, shard: string, size: Resources): boolean {
  const report = round.state.reports.get(shard);
  if (report === undefined || report.atWall < round.now - REPORT_VALID_MS) {
    return false;
  }
  const offered = subtractResources(
    scale(report.free, ROOM_SHARE),
    addResources(report.waiting, movedSince(round, report)),
  );
  return fits(size, offered);
}

function movedSince(round: Round, report: ShardReport): Resources {
  const moved = round.schedule.planning.movedTo.get(report.shard);
  return moved?.atWall === report.atWall ? moved.amount : NO_RESOURCES;
}

function scale(amount: Resources, factor: number): Resources {
  return {
    cpu: amount.cpu * factor,
    memoryMiB: amount.memoryMiB * factor,
    accelerators: Math.floor(amount.accelerators * factor),
  };
}
