/** The worker aggregate: the attempts on a worker, what they take, and its failures. */
import {
  NO_RESOURCES,
  maxResources,
  type Resources,
} from '../core/resources.js';
import type { Instant } from '../core/time.js';

import type { TaskId } from './ids.js';

/** A failed attempt on a worker. */
export interface WorkerFailure {
  readonly job: string;
  readonly task: TaskId;
  readonly atWall: Instant;
}

/** A worker's share of a shard schedule. */
export interface WorkerLoad {
  readonly id: string;
  /** Set-aside size of each attempt on the worker. */
  readonly sizes: Map<TaskId, Resources>;
  /** Latest observed use of each attempt; kept by the owner only, not in the log. */
  readonly observed: Map<TaskId, Resources>;
  /** Sum over attempts of the larger of set-aside and observed. */
  used: Resources;
  /** Latest failures since the last success, oldest first. */
  failures: readonly WorkerFailure[];
  quarantinedUntilWall: Instant | undefined;
  /** How often the worker was quarantined. */
  quarantines: number;
}

const FAILURES_KEPT = 16;

/** Returns a worker without attempts. */
export function newWorkerLoad(id: string): WorkerLoad {
  return {
    id,
    sizes: new Map(),
    observed: new Map(),
    used: NO_RESOURCES,
    failures: [],
    quarantinedUntilWall: undefined,
    quarantines: 0,
  };
}

/** Sets `size` aside for an attempt. */
export function addAttempt(
  load: WorkerLoad,
  task: TaskId,
  size: Resources,
): void {
  load.sizes.set(task, size);
  sumUse(load);
}

/** Frees what an attempt took. */
export function removeAttempt(load: WorkerLoad, task: TaskId): void {
  load.sizes.delete(task);
  load.observed.delete(task);
  sumUse(load);
}

/** Keeps the observed use of attempts; those not on the worker are ignored. */
export function observeAttempts(
  load: WorkerLoad,
  usage: Iterable<readonly [TaskId, Resources]>,
): void {
  for (const [task, use] of usage) {
    if (load.sizes.has(task)) {
      load.observed.set(task, use);
    }
  }
  sumUse(load);
}

/** Adds a failed attempt to the worker's record. */
export function addFailure(load: WorkerLoad, failure: WorkerFailure): void {
  load.failures = [...load.failures, failure].slice(-FAILURES_KEPT);
}

/** Sums anew instead of adding and subtracting, so that rounding does not build up. */
function sumUse(load: WorkerLoad): void {
  let cpu = 0;
  let memoryMiB = 0;
  let accelerators = 0;
  for (const [task, size] of load.sizes) {
    const observed = load.observed.get(task);
    const use = observed === undefined ? size : maxResources(size, observed);
    cpu += use.cpu;
    memoryMiB += use.memoryMiB;
    accelerators += use.accelerators;
  }
  load.used = { cpu, memoryMiB, accelerators };
}
