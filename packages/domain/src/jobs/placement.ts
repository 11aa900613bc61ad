/** Chooses the worker for a task: which may have it, where it has room, and which suits it best. */
import type { AdviceTickets } from './advice.js';
import { suspicionPercent } from './suspect-tasks.js';
import type { FillerSpeeds } from './filler-speeds.js';
import type { Step, Task } from './job.js';
import type { WorkerRuns } from './jobs-state.js';
import type { Quarantine } from './quarantine.js';
import type { RoomShares } from './size-class-shares.js';
import type { StepSpec, TaskSize } from './spec.js';
import type { Instant } from '../core/time.js';

/** A worker as the platform's registry describes it. */
export interface WorkerInfo {
  /** Names one incarnation of a worker. */
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly availabilityZone: string;
  readonly rack: string | undefined;
  readonly labels: readonly string[];
  readonly capacity: TaskSize;
  readonly leaving: boolean;
}

/** A worker that may be given tasks. */
export interface PlanWorker {
  readonly info: WorkerInfo;
  /** Whether it may be given a run while another one that will end is under way. */
  readonly trusted: boolean;
}

/** What a choice goes by. */
export interface PlaceInput {
  readonly workers: readonly PlanWorker[];
  readonly speeds: FillerSpeeds;
  readonly advice: AdviceTickets;
  readonly quarantine: Quarantine;
  readonly shares: RoomShares;
  readonly now: Instant;
  /** What runs on a worker, or is about to. */
  readonly loadOf: (worker: string) => WorkerRuns;
  /** Runs of the task's step on a worker, also those about to start. */
  readonly spreadOf: (task: Task, worker: string) => number;
}

/** Returns the worker that suits the task best, undefined when none has room for it. */
export function chooseWorker(
  input: PlaceInput,
  task: Task,
): PlanWorker | undefined {
  let best: PlanWorker | undefined;
  let bestRank = -Infinity;
  for (const worker of input.workers) {
    if (obstacleAt(input, worker, task) !== undefined) {
      continue;
    }
    const load = input.loadOf(worker.info.id);
    const rank = rankOf(worker, load, task, input.speeds, bestRank);
    if (rank > bestRank) {
      best = worker;
      bestRank = rank;
    }
  }
  return best;
}

/** Why a worker may not have a task now, in the order in which that is checked. */
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

/** Why a worker may not have a task now. */
export type Obstacle = (typeof OBSTACLES)[number];

/** Returns the first obstacle to a task at a worker, undefined when it may have it. */
export function obstacleAt(
  input: PlaceInput,
  worker: PlanWorker,
  task: Task,
): Obstacle | undefined {
  const refusal = refusalAt(input, worker, task);
  if (refusal !== undefined) {
    return refusal;
  }
  if (!input.quarantine.admits(worker.info.id, task)) {
    return 'quarantine';
  }
  if (!input.shares.admits(worker.info.id, task.step)) {
    return 'kept';
  }
  const load = input.loadOf(worker.info.id);
  if (!worker.trusted && hasTrial(load)) {
    return 'trust';
  }
  return lackAt(worker.info, load, task.step.spec);
}

/** Tells whether a run that will end by itself is under way: it shows whether the worker is sound. */
function hasTrial({ runs }: WorkerRuns): boolean {
  return [...runs.values()].some(({ task }) => !task.step.spec.lasting);
}

/** Returns what keeps a worker from having a task whatever runs there. */
export function refusalAt(
  { advice, now, spreadOf }: PlaceInput,
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
    maxPerWorker === undefined || spreadOf(task, info.id) < maxPerWorker;
  return isFree ? undefined : 'spread';
}

/** Share of its declared processors that a serving task is taken to use, for fillers beside it. */
const SERVING_USE = 0.5;

/** Tells whether a task of the step fits on a worker. */
export function hasCapacity(
  info: WorkerInfo,
  load: WorkerRuns,
  spec: StepSpec,
): boolean {
  return lackAt(info, load, spec) === undefined;
}

/** Returns what a worker lacks for a task of the step, undefined when it fits. */
function lackAt(
  { capacity }: WorkerInfo,
  load: WorkerRuns,
  { size, filler }: StepSpec,
): Obstacle | undefined {
  if (size.cpuMilli > (filler ? fillerRoom : plainRoom)(capacity, load)) {
    return 'processors';
  }
  if (size.memoryMiB > capacity.memoryMiB - load.memoryMiB) {
    return 'memory';
  }
  return size.accelerators > capacity.accelerators - load.accelerators
    ? 'accelerators'
    : undefined;
}

function plainRoom(capacity: TaskSize, load: WorkerRuns): number {
  return capacity.cpuMilli - load.cpuMilli;
}

/** Fillers are not counted against capacity; they share what the others don't use. */
function fillerRoom(capacity: TaskSize, load: WorkerRuns): number {
  const unused = (1 - SERVING_USE) * load.servingCpuMilli;
  return capacity.cpuMilli - load.cpuMilli + unused - load.fillerCpuMilli;
}

/** Worth of the data's rack, in shares of a worker's processors. */
const NEAR_DATA_BONUS = 2;
/** Cost of a worker on which the task failed before. */
const FAILED_HERE_COST = 4;
/** Cost of a worker that has to prove itself, for a task that has failed before. */
const UNTRUSTED_COST = 4;
/** Cost of a worker where tasks serve, for a filler. */
const SERVING_HERE_COST = 1;
/** Lowest share of its speed at which a filler is placed. */
const MIN_SPEED = 0.7;

/** Cost of each other image that serves at a worker: fillers have to suit all of them. */
const OTHER_IMAGE_COST = 1;

/** Rates what is left of a worker's processors: more than any worker of today has. */
const LARGE_CPU_MILLI = 128_000;

/**
 * Cost of each other step that serves at a worker, unless both are spread: fillers have to suit the one with
 * the highest load. Keeping steps apart serves callers 0.006 more of what their work is worth (the mean of
 * twelve simulated days on 45 workers, with and without).
 */
const OTHER_STEP_COST = 0.3;

/** Packs tasks that serve beside those of their own step, else of their image. */
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
  const left = capacity.cpuMilli - load.cpuMilli;
  return (
    1 -
    left / LARGE_CPU_MILLI -
    images.size * OTHER_IMAGE_COST -
    steps.size * OTHER_STEP_COST
  );
}

/**
 * Gives a filler the worker whose processors are the least promised, and any other task the one
 * whose room it fills best, so that room for large tasks is left.
 */
function baseRank(capacity: TaskSize, load: WorkerRuns, task: Task): number {
  const { step } = task;
  const { size, filler, tailTargetMs } = step.spec;
  if (suspicionPercent(task) > 0) {
    // The next loss takes few others along, and tells apart those that were lost together.
    return -load.runs.size;
  }
  if (tailTargetMs !== undefined) {
    return servingRank(capacity, load, step);
  }
  if (filler) {
    const serving = load.servingCpuMilli > 0 ? SERVING_HERE_COST : 0;
    const promised = load.cpuMilli + load.fillerCpuMilli;
    return 1 - promised / capacity.cpuMilli - serving;
  }
  const left = capacity.cpuMilli - load.cpuMilli - size.cpuMilli;
  return 1 - left / capacity.cpuMilli;
}

/** Tells whether a worker could have a task beside `load`, now or once what else runs there is over. */
export function couldHave(
  input: PlaceInput,
  worker: PlanWorker,
  load: WorkerRuns,
  task: Task,
): boolean {
  const { info, trusted } = worker;
  const { spec } = task.step;
  if (
    !trusted ||
    refusalAt(input, worker, task) !== undefined ||
    !hasCapacity(info, load, spec)
  ) {
    return false;
  }
  const { cpuMilli } = info.capacity;
  return (
    !spec.filler ||
    load.servingCpuMilli === 0 ||
    input.speeds.of(load, cpuMilli, spec) >= MIN_SPEED
  );
}

/**
 * Rates a worker with room for the task; `-Infinity` for one that does not suit it, or that cannot
 * be rated above `least`.
 */
function rankOf(
  worker: PlanWorker,
  load: WorkerRuns,
  task: Task,
  speeds: FillerSpeeds,
  least: number,
): number {
  const { info } = worker;
  const { spec } = task.step;
  const { cpuMilli } = info.capacity;
  const rank = baseRank(info.capacity, load, task);
  if (!spec.filler || load.servingCpuMilli === 0) {
    return adjusted(rank, worker, task);
  }
  // Speeds take long to work out, and most workers are behind the best one even at full speed.
  if (adjusted(rank + 1, worker, task) <= least) {
    return -Infinity;
  }
  const speed = speeds.of(load, cpuMilli, spec);
  return speed < MIN_SPEED
    ? -Infinity
    : adjusted(rank + Math.min(1, speed), worker, task);
}

/** Adds to a rank what depends on the worker's rack and on how runs have ended. */
function adjusted(rank: number, worker: PlanWorker, task: Task): number {
  const { info, trusted } = worker;
  const { dataRack } = task.step.spec;
  let found = rank;
  if (dataRack !== undefined && info.rack === dataRack) {
    found += NEAR_DATA_BONUS;
  }
  if (task.failedOn.has(info.id)) {
    found -= FAILED_HERE_COST;
  }
  if (!trusted && task.failures > 0) {
    found -= UNTRUSTED_COST;
  }
  return found;
}
