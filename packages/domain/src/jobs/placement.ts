/** Which workers may run a task and have capacity for it, and how suitable each of them is. */
import type { AdviceTickets } from './advice.js';
import { suspicionPercent } from './suspect-tasks.js';
import { runViewsOf } from './run-views.js';
import type { FillerSpeeds } from './filler-speeds.js';
import type { Step, Task } from './job.js';
import type { WorkerRuns } from './jobs-state.js';
import type { Quarantine } from './quarantine.js';
import type { SizeClassShares } from './size-class-shares.js';
import type { StepSpec, TaskSize } from './spec.js';
import type { PreferredVersionOf } from './version-preference.js';
import type { Instant } from '../core/time.js';

/** A worker as described by the platform's registry. */
export interface WorkerInfo {
  /** Identifies one incarnation of a worker. */
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly rack: string | undefined;
  readonly labels: readonly string[];
  readonly capacity: TaskSize;
  readonly leaving: boolean;
  /** Version of the worker's software; undefined if the registry does not tell it. */
  readonly version?: string | undefined;
}

/** A worker that may be given tasks. */
export interface PlanWorker {
  readonly info: WorkerInfo;
  /** Whether it may run several batch tasks at once; an untrusted one gets one at a time, to prove itself. */
  readonly trusted: boolean;
}

/** Input for choosing workers. */
export interface PlacementInput {
  readonly workers: readonly PlanWorker[];
  readonly speeds: FillerSpeeds;
  readonly advice: AdviceTickets;
  readonly quarantine: Quarantine;
  readonly shares: SizeClassShares;
  readonly now: Instant;
  /** Returns the load of a worker, including runs about to start. */
  readonly loadOf: (worker: string) => WorkerRuns;
  /** Returns the number of runs of the task's step on a worker, including those about to start. */
  readonly stepRunsOn: (task: Task, worker: string) => number;
  /** Worker versions that tasks prefer; undefined while no release is under way. */
  readonly preferredVersionOf?: PreferredVersionOf | undefined;
}

/** Reasons why a worker cannot be given a task now, in the order in which they are checked. */
export const OBSTACLES = [
  'service',
  'label',
  'advice',
  'spread',
  'quarantine',
  'kept',
  'trust',
  'processors',
  'memory',
  'accelerators',
] as const;

/** Reason why a worker cannot be given a task now. */
export type Obstacle = (typeof OBSTACLES)[number];

/** Returns the first reason why a worker cannot be given a task now, or undefined if it can. */
export function obstacleAt(
  input: PlacementInput,
  worker: PlanWorker,
  task: Task,
): Obstacle | undefined {
  const staticObstacle = staticObstacleAt(input, worker, task);
  if (staticObstacle !== undefined) {
    return staticObstacle;
  }
  if (!input.quarantine.admits(worker.info.id, task)) {
    return 'quarantine';
  }
  if (!input.shares.admits(worker.info.id, task.step)) {
    return 'kept';
  }
  const load = input.loadOf(worker.info.id);
  if (!worker.trusted && hasBatchRun(load)) {
    return 'trust';
  }
  return missingResource(worker.info, load, task.step.spec);
}

/** Tells whether a task that ends by itself is running; its end will show whether the worker is healthy. */
function hasBatchRun({ runs }: WorkerRuns): boolean {
  return runViewsOf(runs).batch.length > 0;
}

/** Returns the reason why a worker cannot be given a task that does not depend on the free capacity there. */
export function staticObstacleAt(
  { advice, now, stepRunsOn }: PlacementInput,
  { info }: PlanWorker,
  task: Task,
): Obstacle | undefined {
  const { spec, occurrence } = task.step;
  if (info.service !== occurrence.job.spec.terms.service) {
    return 'service';
  }
  if (spec.label !== undefined && !info.labels.includes(spec.label)) {
    return 'label';
  }
  if (!advice.admits(task.step, info.id, now)) {
    return 'advice';
  }
  const { maxPerWorker } = spec;
  const isFree =
    maxPerWorker === undefined || stepRunsOn(task, info.id) < maxPerWorker;
  return isFree ? undefined : 'spread';
}

/** Fraction of its requested processors that a serving task is assumed to use; fillers share the rest. */
const ASSUMED_SERVING_USE = 0.5;

/** Tells whether a task of the step fits on a worker. */
export function hasCapacity(
  info: WorkerInfo,
  load: WorkerRuns,
  spec: StepSpec,
): boolean {
  return missingResource(info, load, spec) === undefined;
}

/** Returns the first resource that a worker lacks for a task of the step, or undefined if it fits. */
function missingResource(
  { capacity }: WorkerInfo,
  load: WorkerRuns,
  { size, filler }: StepSpec,
): Obstacle | undefined {
  if (
    size.cpuMilli > (filler ? freeFillerCpuMilli : freeCpuMilli)(capacity, load)
  ) {
    return 'processors';
  }
  if (size.memoryMiB > capacity.memoryMiB - load.memoryMiB) {
    return 'memory';
  }
  return size.accelerators > capacity.accelerators - load.accelerators
    ? 'accelerators'
    : undefined;
}

function freeCpuMilli(capacity: TaskSize, load: WorkerRuns): number {
  return capacity.cpuMilli - load.cpuMilli;
}

/** Returns the processors left for fillers. They don't count against capacity but share what others leave. */
function freeFillerCpuMilli(capacity: TaskSize, load: WorkerRuns): number {
  const unused = (1 - ASSUMED_SERVING_USE) * load.servingCpuMilli;
  return capacity.cpuMilli - load.cpuMilli + unused - load.fillerCpuMilli;
}

/** Bonus of a worker on the data's rack. Ranks are in units of all processors of a worker. */
const NEAR_DATA_BONUS = 2;
/** Rank penalty of a worker on which the task has failed before. */
const FAILED_HERE_COST = 4;
/**
 * Rank bonus of a worker of the version that a task prefers. It outweighs packing (ranks by load are mostly
 * within -3 to 1) and the rack; a worker that has the penalty of an earlier failure gets none.
 */
const PREFERRED_VERSION_BONUS = 4;
/** Rank penalty of an untrusted worker, for a task that has failed before. */
const UNTRUSTED_COST = 4;
/** Rank penalty of a worker with serving tasks, for a filler. */
const SERVING_HERE_COST = 1;
/** Lowest fraction of its full speed at which a filler is placed. */
const MIN_SPEED = 0.7;

/** Rank penalty of each other serving image on a worker, since fillers have to suit all of them. */
const OTHER_IMAGE_COST = 1;

/** Scale of free processors in the rank of a serving task: more than any present worker has. */
const RANK_SCALE_CPU_MILLI = 128_000;

/**
 * Rank penalty of each other serving step on a worker, unless both limit their tasks per worker: fillers have
 * to suit the step with the highest load. Separating steps serves 0.006 more of the value of callers' work
 * (mean of twelve simulated days on 45 workers, with and without).
 */
const OTHER_STEP_COST = 0.3;

/** Ranks a worker for a serving task: packs it with tasks of its own step, or else of its own image. */
function servingRank(capacity: TaskSize, load: WorkerRuns, step: Step): number {
  const images = new Set<string | undefined>();
  const steps = new Set<Step>();
  for (const { task } of load.runs.values()) {
    const { spec } = task.step;
    if (spec.tailTargetMs !== undefined && task.step !== step) {
      if (
        spec.maxPerWorker === undefined ||
        step.spec.maxPerWorker === undefined
      ) {
        steps.add(task.step);
      }
      if (spec.image !== step.spec.image) {
        images.add(spec.image);
      }
    }
  }
  const freeMilli = capacity.cpuMilli - load.cpuMilli;
  return (
    1 -
    freeMilli / RANK_SCALE_CPU_MILLI -
    images.size * OTHER_IMAGE_COST -
    steps.size * OTHER_STEP_COST
  );
}

/**
 * Ranks a worker by its load: for a filler the one with the least requested processors is best, for any other
 * task the one that it fills best, so that capacity for large tasks remains elsewhere.
 */
function baseRank(capacity: TaskSize, load: WorkerRuns, task: Task): number {
  const { step } = task;
  const { size, filler, tailTargetMs } = step.spec;
  if (suspicionPercent(task) > 0) {
    // The next worker loss then affects few other tasks, and separates those that were lost together before.
    return -load.runs.size;
  }
  if (tailTargetMs !== undefined) {
    return servingRank(capacity, load, step);
  }
  if (filler) {
    const serving = load.servingCpuMilli > 0 ? SERVING_HERE_COST : 0;
    const requested = load.cpuMilli + load.fillerCpuMilli;
    return 1 - requested / capacity.cpuMilli - serving;
  }
  const freeMilli = capacity.cpuMilli - load.cpuMilli - size.cpuMilli;
  return 1 - freeMilli / capacity.cpuMilli;
}

/** Tells whether a worker could run a task beside `load`, now or once its other runs have ended. */
export function couldRunLater(
  input: PlacementInput,
  worker: PlanWorker,
  load: WorkerRuns,
  task: Task,
): boolean {
  const { info, trusted } = worker;
  const { spec } = task.step;
  if (
    !trusted ||
    staticObstacleAt(input, worker, task) !== undefined ||
    !hasCapacity(info, load, spec)
  ) {
    return false;
  }
  const { cpuMilli } = info.capacity;
  return (
    !spec.filler ||
    load.servingCpuMilli === 0 ||
    input.speeds.meanSpeedOf(load, cpuMilli, task.step) >= MIN_SPEED
  );
}

/** Rank of a worker for a task, or an upper bound of it that costs less to compute. */
export interface Rank {
  readonly value: number;
  readonly isExact: boolean;
}

/** Rank of a worker that cannot be given the task. */
const UNUSABLE: Rank = { value: -Infinity, isExact: true };

/** Returns a rank or its upper bound; bounds are for fillers, whose speed is expensive to compute. */
export function boundRankAt(
  input: PlacementInput,
  worker: PlanWorker,
  task: Task,
): Rank {
  const { capacity, id } = worker.info;
  const load = input.loadOf(id);
  // In a busy fleet most workers lack capacity, which costs the least to find out.
  if (
    !hasCapacity(worker.info, load, task.step.spec) ||
    obstacleAt(input, worker, task) !== undefined
  ) {
    return UNUSABLE;
  }
  const rank = baseRank(capacity, load, task);
  const isExact = !task.step.spec.filler || load.servingCpuMilli === 0;
  const atFullSpeed = isExact ? rank : rank + 1;
  return { value: adjustRank(input, atFullSpeed, worker, task), isExact };
}

/** Returns the rank of a worker without an obstacle; `-Infinity` if the task would be too slow there. */
export function exactRankAt(
  input: PlacementInput,
  worker: PlanWorker,
  task: Task,
): Rank {
  const { loadOf, speeds } = input;
  const { capacity, id } = worker.info;
  const load = loadOf(id);
  const speed = speeds.meanSpeedOf(load, capacity.cpuMilli, task.step);
  if (speed < MIN_SPEED) {
    return UNUSABLE;
  }
  const rank = baseRank(capacity, load, task) + Math.min(1, speed);
  return { value: adjustRank(input, rank, worker, task), isExact: true };
}

/** Adds the bonuses for the worker's rack and version, and the penalties for earlier failures, to a rank. */
function adjustRank(
  { preferredVersionOf }: PlacementInput,
  rank: number,
  worker: PlanWorker,
  task: Task,
): number {
  const { info, trusted } = worker;
  const { dataRack } = task.step.spec;
  const hasFailedHere = task.failedOn.has(info.id);
  const isUntrusted = !trusted && task.failures > 0;
  let result = rank;
  if (dataRack !== undefined && info.rack === dataRack) {
    result += NEAR_DATA_BONUS;
  }
  if (hasFailedHere) {
    result -= FAILED_HERE_COST;
  }
  if (isUntrusted) {
    result -= UNTRUSTED_COST;
  }
  if (
    !hasFailedHere &&
    !isUntrusted &&
    info.version !== undefined &&
    info.version === preferredVersionOf?.(task)
  ) {
    result += PREFERRED_VERSION_BONUS;
  }
  return result;
}
