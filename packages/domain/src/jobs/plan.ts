/** Decides which waiting tasks start where. */
import { candidates, type Candidate, type PlanTime } from './order.js';
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
  /** Whether a task that serves runs beside the others and is disturbed by fillers. */
  readonly disturbed: boolean;
}

/** A decision to start a task. */
export interface StartDecision {
  readonly task: Task;
  readonly run: number;
  readonly worker: string;
}

/** Most starts that one round decides, so that a round stays short. */
const MAX_STARTS = 200;

/** Returns the starts of one round and applies none; room is reserved within the round. */
export function planStarts(
  state: JobsState,
  workers: readonly PlanWorker[],
  times: RunTimes,
  time: PlanTime,
  start: (decision: StartDecision) => void,
): number {
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
      const worker = chooseWorker(state, workers, task);
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
  const { size, filler, label } = step.spec;
  const { service } = step.occurrence.job.spec.terms;
  return `${service}/${size.cpuMilli}/${size.memoryMiB}/${size.accelerators}/${filler}/${label ?? ''}`;
}

function noteFull(full: Set<string>, key: string, { spec }: Step): void {
  if (spec.maxPerWorker === undefined) {
    full.add(key);
  }
}

/** Share of a worker's processors that fillers may be promised. */
const FILLER_SHARE = 1;

function chooseWorker(
  state: JobsState,
  workers: readonly PlanWorker[],
  task: Task,
): PlanWorker | undefined {
  let best: PlanWorker | undefined;
  let bestRank = -Infinity;
  for (const worker of workers) {
    if (!accepts(worker, task)) {
      continue;
    }
    const load = workerRuns(state, worker.info.id);
    if (!hasRoom(worker.info, load, task.step.spec)) {
      continue;
    }
    const rank = rankOf(worker, load, task);
    if (rank > bestRank) {
      best = worker;
      bestRank = rank;
    }
  }
  return best;
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

function hasRoom(
  { capacity }: WorkerInfo,
  load: WorkerRuns,
  { size, filler }: StepSpec,
): boolean {
  const room = filler
    ? capacity.cpuMilli * FILLER_SHARE - load.cpuMilli - load.fillerCpuMilli
    : capacity.cpuMilli - load.cpuMilli;
  return (
    size.cpuMilli <= room &&
    size.memoryMiB <= capacity.memoryMiB - load.memoryMiB &&
    size.accelerators <= capacity.accelerators - load.accelerators
  );
}

/** Worth of the data's rack, in shares of a worker's processors. */
const NEAR_DATA_BONUS = 2;
/** Cost of a worker on which the task failed before. */
const FAILED_HERE_COST = 4;
/** Cost of putting a filler beside a task that serves. */
const DISTURBED_COST = 0.5;

/** Prefers the worker whose processors are the least promised. */
function rankOf(worker: PlanWorker, load: WorkerRuns, task: Task): number {
  const { info } = worker;
  const { spec } = task.step;
  const promised = load.cpuMilli + load.fillerCpuMilli;
  let rank = 1 - promised / info.capacity.cpuMilli;
  if (spec.dataRack !== undefined && info.labels.includes(spec.dataRack)) {
    rank += NEAR_DATA_BONUS;
  }
  if (task.failedOn.has(info.id)) {
    rank -= FAILED_HERE_COST;
  }
  if (spec.filler && worker.disturbed) {
    rank -= DISTURBED_COST;
  }
  return rank;
}
