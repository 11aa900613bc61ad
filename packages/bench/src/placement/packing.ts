/** How much of a fleet the planner fills, against first fit, best fit and a bound. */
import {
  NO_RESOURCES,
  addResources,
  decision,
  fits,
  seededRandom,
  subtractResources,
  type JobSpec,
  type Resources,
} from '@paddlewind/domain';

import { report } from '../report.js';

import { commit, newShardLoop, settle, type ShardLoop } from './shard-loop.js';
import { SHARD_WORKERS, drawJob, makeWorkers } from './workload.js';

/** Chooses the index of a room for `size`, or -1. */
type Rule = (rooms: readonly Resources[], size: Resources) => number;

const JOBS = 400;
const TASKS_PER_JOB = 8;

/** Fills an empty shard with the same jobs by each rule and prints the parts filled. */
export function measurePacking(seed: number): void {
  const random = seededRandom(seed);
  const loop = newShardLoop('packing', SHARD_WORKERS, random);
  const jobs = Array.from({ length: JOBS }, (_, i) => ({
    ...drawJob(`p${i}`, TASKS_PER_JOB, random),
    team: 'one',
    labels: {},
  }));
  const ours = filledByPlanner(loop, jobs);
  const first = filledByRule(jobs, firstFit);
  const best = filledByRule(jobs, bestFit);
  const whole = makeWorkers(SHARD_WORKERS)
    .map(worker => worker.capacity)
    .reduce(addResources, NO_RESOURCES);
  report({
    bench: 'placement',
    part: 'packing',
    seed,
    ours: filledPart(ours, whole),
    firstFit: filledPart(first, whole),
    bestFit: filledPart(best, whole),
    bound: 1,
  });
}

/** Returns the part filled of the resource that is filled most. */
function filledPart(used: Resources, whole: Resources): number {
  const part = Math.max(used.cpu / whole.cpu, used.memoryMiB / whole.memoryMiB);
  return Math.round(part * 10_000) / 10_000;
}

function filledByPlanner(loop: ShardLoop, jobs: readonly JobSpec[]): Resources {
  for (const job of jobs) {
    const body = { job, shard: loop.view.shard, submittedAtWall: loop.now };
    commit(loop, [decision('job_submitted', body)]);
  }
  settle(loop);
  const schedule = loop.state.shards.get(loop.view.shard);
  return [...(schedule?.workers.values() ?? [])]
    .map(load => load.used)
    .reduce(addResources, NO_RESOURCES);
}

function filledByRule(jobs: readonly JobSpec[], rule: Rule): Resources {
  const rooms = makeWorkers(SHARD_WORKERS).map(worker => worker.capacity);
  let used = NO_RESOURCES;
  for (const { size, tasks } of jobs) {
    for (let i = 0; i < tasks; i++) {
      const at = rule(rooms, size);
      const room = rooms[at];
      if (room !== undefined) {
        rooms[at] = subtractResources(room, size);
        used = addResources(used, size);
      }
    }
  }
  return used;
}

function firstFit(rooms: readonly Resources[], size: Resources): number {
  return rooms.findIndex(room => fits(size, room));
}

function bestFit(rooms: readonly Resources[], size: Resources): number {
  let best = -1;
  let least = Infinity;
  rooms.forEach((room, at) => {
    if (fits(size, room) && room.cpu - size.cpu < least) {
      best = at;
      least = room.cpu - size.cpu;
    }
  });
  return best;
}
