/** Decides which waiting tasks start where. */
import { candidates, type Candidate, type PlanTime } from './order.js';
import type { Interference } from './interference.js';
import type { Step, Task } from './job.js';
import { workerRuns, type JobsState, type WorkerRuns } from './jobs-state.js';
import type { RunTimes } from './run-times.js';
import type { StepSpec, TaskSize } from './spec.js';

/** A worker as the platform's registry describes it. */
export interface WorkerInfo {
  /** Names one life of a worker. */
  readonly id: string;
  readonly address: string;
  readonly service: string;
  readonly availabilityZone: string;
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

/** A decision to start a task. */
export interface StartDecision {
  readonly task: Task;
  readonly run: number;
  readonly worker: string;
}

/** Most starts that one round decides, so that a round stays short. */
const MAX_STARTS = 200;

/** What a round of planning goes by. */
export interface PlanInput {
  readonly state: JobsState;
  readonly workers: readonly PlanWorker[];
  readonly times: RunTimes;
  readonly interference: Interference;
  readonly time: PlanTime;
}

/** Decides the starts of one round; `start` has to apply each before the next is decided. */
export function planStarts(
  input: PlanInput,
  start: (decision: StartDecision) => void,
): number {
  const { state, times, time } = input;
  let started = 0;
  const full = new Set<string>();
  for (const candidate of candidates(state.open, times, time)) {
    const key = shapeKey(candidate);
    for (const task of candidate.step.tasks) {
      if (started >= MAX_STARTS || full.has(key)) {
        break;
      }
      if (task.status !== 'waiting' || task.notBefore > time.now) {
        continue;
      }
      const worker = chooseWorker(input, task);
      if (worker === undefined) {
        noteFull(full, key, candidate.step);
        break;
      }
      start({ task, run: task.lastRun + 1, worker: worker.info.id });
      started += 1;
    }
  }
  return started;
}

/** Steps of one shape fit or fail alike, but for limits of their own. */
function shapeKey({ step }: Candidate): string {
  const { size, filler, label, image } = step.spec;
  const { service } = step.occurrence.job.spec.terms;
  return `${service}/${size.cpuMilli}/${size.memoryMiB}/${size.accelerators}/${filler}/${label ?? ''}/${image ?? ''}`;
}

function noteFull(full: Set<string>, key: string, { spec }: Step): void {
  if (spec.maxPerWorker === undefined) {
    full.add(key);
  }
}

function chooseWorker(
  { state, workers, interference }: PlanInput,
  task: Task,
): PlanWorker | undefined {
  let best: PlanWorker | undefined;
  let bestRank = -Infinity;
  for (const worker of workers) {
    if (!accepts(worker, task)) {
      continue;
    }
    const load = workerRuns(state, worker.info.id);
    if (!worker.trusted && hasTrial(load)) {
      continue;
    }
    if (!hasRoom(worker.info, load, task.step.spec)) {
      continue;
    }
    const rank = rankOf(worker, load, task, interference);
    if (rank > bestRank) {
      best = worker;
      bestRank = rank;
    }
  }
  return best;
}

/** Tells whether a run that will end by itself is under way: it shows whether the worker is sound. */
function hasTrial({ runs }: WorkerRuns): boolean {
  return [...runs.values()].some(({ task }) => !task.step.spec.lasting);
}

/** Returns the worker on which a task would start now. */
export function findPlace(
  input: PlanInput,
  task: Task,
): PlanWorker | undefined {
  return chooseWorker(input, task);
}

function accepts({ info }: PlanWorker, task: Task): boolean {
  const { spec, spread, occurrence } = task.step;
  if (info.service !== occurrence.job.spec.terms.service) {
    return false;
  }
  if (spec.label !== undefined && !info.labels.includes(spec.label)) {
    return false;
  }
  const here = spread.get(info.id) ?? 0;
  return spec.maxPerWorker === undefined || here < spec.maxPerWorker;
}

/** Share of its declared processors that a serving task is taken to use, for fillers beside it. */
const SERVING_USE = 0.5;

function hasRoom(
  { capacity }: WorkerInfo,
  load: WorkerRuns,
  { size, filler }: StepSpec,
): boolean {
  return (
    size.cpuMilli <= (filler ? fillerRoom : plainRoom)(capacity, load) &&
    size.memoryMiB <= capacity.memoryMiB - load.memoryMiB &&
    size.accelerators <= capacity.accelerators - load.accelerators
  );
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
/** Cost of a worker where tasks serve, for a task that does not. */
const SERVING_HERE_COST = 1;
/** Lowest share of its speed at which a filler is placed. */
const MIN_SPEED = 0.7;

/** Cost of each other image that serves at a worker: fillers have to suit all of them. */
const OTHER_IMAGE_COST = 1;

/** Packs tasks that serve beside those of their image. */
function servingRank(
  capacity: TaskSize,
  load: WorkerRuns,
  image: string | undefined,
): number {
  const others = new Set<string | undefined>();
  for (const { task } of load.runs.values()) {
    const { spec } = task.step;
    if (spec.tailTargetMs !== undefined && spec.image !== image) {
      others.add(spec.image);
    }
  }
  const packed = load.cpuMilli / capacity.cpuMilli;
  return packed - others.size * OTHER_IMAGE_COST;
}

/** Gives tasks that don't serve the worker whose processors are the least promised. */
function rankOf(
  worker: PlanWorker,
  load: WorkerRuns,
  task: Task,
  interference: Interference,
): number {
  const { info } = worker;
  const { spec } = task.step;
  const { cpuMilli } = info.capacity;
  const serves = spec.tailTargetMs !== undefined;
  let rank = serves
    ? servingRank(info.capacity, load, spec.image)
    : 1 - (load.cpuMilli + load.fillerCpuMilli) / cpuMilli;
  if (!serves && load.servingCpuMilli > 0) {
    rank -= SERVING_HERE_COST;
  }
  if (spec.filler && load.servingCpuMilli > 0) {
    const speed = interference.speedOf(load, cpuMilli, spec);
    if (speed < MIN_SPEED) {
      return -Infinity;
    }
    rank += Math.min(1, speed);
  }
  if (spec.dataRack !== undefined && info.labels.includes(spec.dataRack)) {
    rank += NEAR_DATA_BONUS;
  }
  if (task.failedOn.has(info.id)) {
    rank -= FAILED_HERE_COST;
  }
  if (!worker.trusted && task.failures > 0) {
    rank -= UNTRUSTED_COST;
  }
  return rank;
}
