/** Attempts that the folded decisions place on workers. */
import {
  parseTaskId,
  placementOf,
  type ScheduleState,
  type ShardSchedule,
} from '@paddlewind/domain';
import type { AttemptRef } from '@paddlewind/ports';

import type { PlacedAttempt } from './reconcile.js';

/** Returns the attempts of a shard on one worker. */
export function placedOn(
  schedule: ShardSchedule,
  worker: string,
): PlacedAttempt[] {
  const tasks = schedule.workers.get(worker)?.sizes.keys() ?? [];
  return [...tasks].flatMap(id => placedAttempt(schedule, id) ?? []);
}

/** Returns the attempt of a task that is on a worker, whichever it is. */
export function placedAttempt(
  schedule: ShardSchedule,
  id: string,
): (PlacedAttempt & { readonly worker: string }) | undefined {
  const name = parseTaskId(id);
  const job = schedule.jobs.get(name.job);
  const task = job?.tasks.get(name.index);
  const placement = task === undefined ? undefined : placementOf(task);
  if (job === undefined || task === undefined || placement === undefined) {
    return undefined;
  }
  const { state } = task;
  return {
    ref: { task: id, attempt: task.attempts },
    job: job.spec,
    size: placement.size,
    checkpoint: task.checkpoint,
    evicting: state.kind === 'evicting' ? state.reason : undefined,
    worker: placement.worker,
  };
}

/** Tells whether a shard other than `shard` has the attempt on the worker. */
export function isPlacedElsewhere(
  state: ScheduleState,
  shard: string,
  worker: string,
  ref: AttemptRef,
): boolean {
  for (const [name, schedule] of state.shards) {
    const there = schedule.workers.get(worker)?.sizes.has(ref.task) === true;
    const placed = there ? placedAttempt(schedule, ref.task) : undefined;
    if (name !== shard && placed?.ref.attempt === ref.attempt) {
      return true;
    }
  }
  return false;
}
