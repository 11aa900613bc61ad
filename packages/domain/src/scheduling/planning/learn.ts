/** Sizes learnt from lagging, noisy reports; see docs/design/scheduling.md. */
import { maxResources, type Resources } from '../../core/resources.js';
import type { Instant, Millis } from '../../core/time.js';
import { rememberKey } from '../bounded-map.js';
import { parseTaskId, type TaskId } from '../ids.js';
import type { Job } from '../job.js';
import type { ShardSchedule } from '../shard.js';
import type { ScheduleState } from '../state.js';
import { placementOf, type Task } from '../task.js';
import { observeAttempts, type Observation } from '../worker.js';

import type { Estimate, LearnedSize, LearnedSizes } from './learned-size.js';

/** An attempt as its worker reports it. */
export interface SeenAttempt {
  readonly task: TaskId;
  readonly attempt: number;
  readonly usage: Resources;
  /** Share of the work done as of the last checkpoint. */
  readonly progress: number;
}

const GAIN = 1 / 8;
const DEVIATION_GAIN = 1 / 4;
const DEVIATIONS = 2;
const MIN_SAMPLES = 4;
/** A learned size is at most this many times the declared one. */
const MAX_FACTOR = 4;
const SIZES_REMEMBERED = 1_024;
const CPU_STEP = 0.1;
const MEMORY_STEP_MIB = 16;

/** Takes in a worker's report, `lagMs` old; reports on attempts that are not placed are ignored. */
export function observeWorker(
  state: ScheduleState,
  shard: string,
  worker: string,
  seen: readonly SeenAttempt[],
  lagMs: Millis,
  now: Instant,
): void {
  const schedule = state.shards.get(shard);
  const load = schedule?.workers.get(worker);
  if (schedule === undefined || load === undefined) {
    return;
  }
  const observations: [TaskId, Observation][] = [];
  for (const attempt of seen) {
    const placed = placedAttempt(schedule, worker, attempt);
    if (placed === undefined || placed.startedAtWall > now - lagMs) {
      continue;
    }
    learn(schedule.planning.sizes, placed.job, attempt.usage);
    const before = load.observed.get(attempt.task);
    observations.push([
      attempt.task,
      observation(before, attempt, now - lagMs),
    ]);
  }
  observeAttempts(load, observations);
}

function placedAttempt(
  schedule: ShardSchedule,
  worker: string,
  seen: SeenAttempt,
): { job: Job; startedAtWall: Instant } | undefined {
  const name = parseTaskId(seen.task);
  const job = schedule.jobs.get(name.job);
  const task: Task | undefined = job?.tasks.get(name.index);
  const placement = task === undefined ? undefined : placementOf(task);
  const current =
    task?.attempts === seen.attempt && placement?.worker === worker;
  return job !== undefined && placement !== undefined && current
    ? { job, startedAtWall: placement.startedAtWall }
    : undefined;
}

function observation(
  before: Observation | undefined,
  seen: SeenAttempt,
  at: Instant,
): Observation {
  const { usage, progress } = seen;
  const saved =
    before === undefined ? progress > 0 : progress > before.progress;
  return {
    usage,
    progress,
    savedAtWall: saved ? at : (before?.savedAtWall ?? 0),
  };
}

function learn(sizes: LearnedSizes, job: Job, usage: Resources): void {
  const { size: declared, name } = job.spec;
  const cpu = over(usage.cpu, declared.cpu);
  const memoryMiB = over(usage.memoryMiB, declared.memoryMiB);
  for (const key of [name, job.group]) {
    let size = sizes.get(key);
    if (size === undefined) {
      size = {
        cpu: { mean: cpu, deviation: 0 },
        memoryMiB: { mean: memoryMiB, deviation: 0 },
        samples: 0,
      };
      rememberKey(sizes, key, size, SIZES_REMEMBERED);
    }
    size.samples += 1;
    follow(size.cpu, cpu);
    follow(size.memoryMiB, memoryMiB);
  }
}

/** Returns `used / declared`; 1 when nothing is declared. */
function over(used: number, declared: number): number {
  return declared > 0 ? used / declared : 1;
}

function follow(estimate: Estimate, sample: number): void {
  const error = sample - estimate.mean;
  estimate.mean += GAIN * error;
  estimate.deviation += DEVIATION_GAIN * (Math.abs(error) - estimate.deviation);
}

/**
 * Returns what to set aside for a new attempt: the larger of declared and learnt,
 * but never more than `largest`, so that an estimate alone makes no job impossible.
 */
export function sizeToReserve(
  sizes: LearnedSizes,
  job: Job,
  largest: Resources,
): Resources {
  const { size: declared, name } = job.spec;
  const learned = enough(sizes.get(name)) ?? enough(sizes.get(job.group));
  if (learned === undefined) {
    return declared;
  }
  const cpu = Math.min(
    roundUp(upper(learned.cpu) * declared.cpu, CPU_STEP),
    declared.cpu * MAX_FACTOR,
    largest.cpu,
  );
  const memoryMiB = Math.min(
    roundUp(upper(learned.memoryMiB) * declared.memoryMiB, MEMORY_STEP_MIB),
    declared.memoryMiB * MAX_FACTOR,
    largest.memoryMiB,
  );
  if (cpu <= declared.cpu && memoryMiB <= declared.memoryMiB) {
    return declared;
  }
  const { accelerators } = declared;
  return maxResources(declared, { cpu, memoryMiB, accelerators });
}

function enough(size: LearnedSize | undefined): LearnedSize | undefined {
  return size !== undefined && size.samples >= MIN_SAMPLES ? size : undefined;
}

function upper(estimate: Estimate): number {
  return estimate.mean + DEVIATIONS * estimate.deviation;
}

function roundUp(value: number, step: number): number {
  return Math.round(Math.ceil(value / step) * step * 1_000) / 1_000;
}
