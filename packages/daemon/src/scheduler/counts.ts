/** Counts of tasks by shard and by worker. */
import {
  freshCount,
  parseTaskId,
  type ShardSchedule,
} from '@paddlewind/domain';

import type { ShardCounts, WorkerUse } from './types.js';
import type { Zone } from './zone.js';

/** Counts the tasks of every shard that the zones hold. */
export function countShards(zones: readonly Zone[]): ShardCounts[] {
  return zones.flatMap(zone => [...zone.state.shards.values()].map(countShard));
}

function countShard(schedule: ShardSchedule): ShardCounts {
  let running = 0;
  let queued = 0;
  let held = 0;
  for (const job of schedule.jobs.values()) {
    const waiting = job.queued.size + freshCount(job);
    running += job.placed;
    queued += waiting;
    held += job.tasks.size - job.placed - job.queued.size;
  }
  return { shard: schedule.name, running, queued, held };
}

/** Returns the tasks and their use on every worker that has any. */
export function useOfWorkers(zones: readonly Zone[]): WorkerUse[] {
  const schedules = zones.flatMap(zone => [...zone.state.shards.values()]);
  return schedules.flatMap(schedule =>
    [...schedule.workers.values()]
      .filter(load => load.sizes.size > 0)
      .map(load => ({
        worker: load.id,
        tasks: load.sizes.size,
        used: load.used,
      })),
  );
}

/** Returns the jobs with a task on a worker; undefined when no zone holds its shard. */
export function jobsOnWorker(
  zones: readonly Zone[],
  worker: string,
): readonly string[] | undefined {
  for (const zone of zones) {
    for (const schedule of zone.state.shards.values()) {
      const load = schedule.workers.get(worker);
      if (load !== undefined) {
        const tasks = [...load.sizes.keys()];
        return [...new Set(tasks.map(task => parseTaskId(task).job))];
      }
    }
  }
  return undefined;
}
