/** The shard schedule aggregate: the jobs, workers and teams of one shard. */
import {
  NO_RESOURCES,
  addResources,
  subtractResources,
  type Resources,
} from '../core/resources.js';
import type { Instant } from '../core/time.js';

import { rememberKey } from './bounded-map.js';
import { isDrained, type Job } from './job.js';
import { newPlannerMemory, type PlannerMemory } from './planning/memory.js';
import { placementOf, type Placement, type Task } from './task.js';
import {
  addAttempt,
  isForgettable,
  newWorkerLoad,
  removeAttempt,
  settleUse,
  type WorkerLoad,
} from './worker.js';

/** What a team uses in a shard, and what its allotment gained from or lost to others. */
export interface TeamUse {
  used: Resources;
  /** Borrowed minus lent; may be negative. */
  borrowed: Resources;
}

/** How a finished part of a job ended. */
export interface FinishedJob {
  readonly completed: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly moved: number;
}

/** What another shard last told of itself. */
export interface ShardReport {
  readonly shard: string;
  readonly atWall: Instant;
  readonly free: Resources;
  readonly waiting: Resources;
  readonly lacking: Readonly<Record<string, Resources>>;
}

/** Everything folded for one shard. */
export interface ShardSchedule {
  readonly name: string;
  readonly jobs: Map<string, Job>;
  readonly finished: Map<string, FinishedJob>;
  readonly workers: Map<string, WorkerLoad>;
  readonly teams: Map<string, TeamUse>;
  /** Ids of task moves into this shard, so that a late repeat is void. */
  readonly arrivals: Map<string, true>;
  /** Number of jobs that ever came here. */
  arrivalCount: number;
  /** Raised with each change, so that a plan may be skipped when nothing changed. */
  version: number;
  /** Jobs whose queue may have changed since the planner looked. */
  readonly touched: Set<Job>;
  /** Completed over declared run times by group of jobs, as decayed averages. */
  readonly runFactors: Map<string, number>;
  /** What the planner keeps between plans; rebuilt by a new owner, not part of the fold. */
  readonly planning: PlannerMemory;
}

/** Finished jobs and moves into a shard that are remembered. */
export const JOBS_REMEMBERED = 4_096;

const RUN_TIME_GAIN = 0.2;
const RUN_TIMES_REMEMBERED = 1_024;

/** Returns an empty schedule of a shard. */
export function newShardSchedule(name: string): ShardSchedule {
  return {
    name,
    jobs: new Map(),
    finished: new Map(),
    workers: new Map(),
    teams: new Map(),
    arrivals: new Map(),
    arrivalCount: 0,
    version: 0,
    touched: new Set(),
    runFactors: new Map(),
    planning: newPlannerMemory(),
  };
}

/** Returns the record of a worker, made when first named. */
export function workerLoad(shard: ShardSchedule, id: string): WorkerLoad {
  let load = shard.workers.get(id);
  if (load === undefined) {
    load = newWorkerLoad(id);
    shard.workers.set(id, load);
  }
  return load;
}

/** Returns the record of a team, made when first named. */
export function teamUse(shard: ShardSchedule, team: string): TeamUse {
  let use = shard.teams.get(team);
  if (use === undefined) {
    use = { used: NO_RESOURCES, borrowed: NO_RESOURCES };
    shard.teams.set(team, use);
  }
  return use;
}

/** Accounts for an attempt that takes its place on a worker. */
export function occupy(
  shard: ShardSchedule,
  job: Job,
  task: Task,
  placement: Placement,
): void {
  addAttempt(workerLoad(shard, placement.worker), task.id, placement.size);
  const team = teamUse(shard, job.spec.team);
  team.used = addResources(team.used, placement.size);
  job.placed += 1;
  job.spread.set(placement.worker, (job.spread.get(placement.worker) ?? 0) + 1);
}

/** Accounts for an attempt that is being stopped. */
export function markEvicting(shard: ShardSchedule, task: Task): void {
  const placement = placementOf(task);
  if (placement !== undefined) {
    const load = workerLoad(shard, placement.worker);
    load.evicting.add(task.id);
  }
}

/** Accounts for an attempt that leaves its worker. */
export function vacate(shard: ShardSchedule, job: Job, task: Task): void {
  const placement = placementOf(task);
  if (placement === undefined) {
    return;
  }
  const load = workerLoad(shard, placement.worker);
  removeAttempt(load, task.id);
  if (isForgettable(load)) {
    shard.workers.delete(load.id);
  }
  const team = teamUse(shard, job.spec.team);
  team.used = settleUse(subtractResources(team.used, placement.size));
  job.placed -= 1;
  const left = (job.spread.get(placement.worker) ?? 0) - 1;
  if (left > 0) {
    job.spread.set(placement.worker, left);
  } else {
    job.spread.delete(placement.worker);
  }
}

/** Drops a job whose every task here is finished, keeping how it ended. */
export function retireIfDrained(shard: ShardSchedule, job: Job): void {
  if (!isDrained(job)) {
    return;
  }
  const name = job.spec.name;
  shard.jobs.delete(name);
  shard.touched.add(job);
  const before = shard.finished.get(name);
  const finished: FinishedJob = {
    completed: job.tally.completed + (before?.completed ?? 0),
    failed: job.tally.failed + (before?.failed ?? 0),
    cancelled: job.tally.cancelled + (before?.cancelled ?? 0),
    moved: job.tally.moved + (before?.moved ?? 0),
  };
  shard.finished.delete(name);
  rememberKey(shard.finished, name, finished, JOBS_REMEMBERED);
}

/** Learns how long a completed attempt ran. */
export function learnRunTime(
  shard: ShardSchedule,
  job: Job,
  seconds: number,
): void {
  job.runSeconds = follow(job.runSeconds, seconds);
  const factor = seconds / job.spec.expectedSeconds;
  const ofGroup = follow(shard.runFactors.get(job.group), factor);
  shard.runFactors.delete(job.group);
  rememberKey(shard.runFactors, job.group, ofGroup, RUN_TIMES_REMEMBERED);
}

function follow(average: number | undefined, sample: number): number {
  return average === undefined
    ? sample
    : average + RUN_TIME_GAIN * (sample - average);
}

/** Returns the expected run time of a task in seconds: learnt for the job, or declared and corrected by its like. */
export function expectedSeconds(shard: ShardSchedule, job: Job): number {
  const factor = shard.runFactors.get(job.group) ?? 1;
  return job.runSeconds ?? job.spec.expectedSeconds * factor;
}
