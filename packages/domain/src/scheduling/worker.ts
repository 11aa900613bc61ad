/** The worker aggregate: the attempts on a worker, what they take, and its failures. */
import {
  NO_RESOURCES,
  addResources,
  maxResources,
  subtractResources,
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

/** What the owner last saw of an attempt; lagging and noisy. */
export interface Observation {
  readonly usage: Resources;
  /** Share of the work done as of the last checkpoint. */
  readonly progress: number;
  /** When `progress` last rose. */
  readonly savedAtWall: Instant;
}

/** What came of the attempts started to probe a quarantined worker. */
export type ProbeResult = 'none' | 'passed' | 'failed';

/** A worker's share of a shard schedule. */
export interface WorkerLoad {
  readonly id: string;
  /** Set-aside size of each attempt on the worker. */
  readonly sizes: Map<TaskId, Resources>;
  /** Attempts that are being stopped. */
  readonly evicting: Set<TaskId>;
  /** Latest observation of each attempt; kept by the owner only, not in the log. */
  readonly observed: Map<TaskId, Observation>;
  /** Sum over attempts of the larger of set-aside and observed. */
  used: Resources;
  /** Latest failures since the last success, oldest first. */
  failures: readonly WorkerFailure[];
  quarantinedUntilWall: Instant | undefined;
  /** How often the worker was quarantined. */
  quarantines: number;
  probe: ProbeResult;
}

const FAILURES_KEPT = 16;

/** Returns a worker without attempts. */
export function newWorkerLoad(id: string): WorkerLoad {
  return {
    id,
    sizes: new Map(),
    evicting: new Set(),
    observed: new Map(),
    used: NO_RESOURCES,
    failures: [],
    quarantinedUntilWall: undefined,
    quarantines: 0,
    probe: 'none',
  };
}

/** Tells whether nothing is known of a worker that a new record would not have. */
export function isForgettable(load: WorkerLoad): boolean {
  return (
    load.sizes.size === 0 &&
    load.quarantines === 0 &&
    load.failures.length === 0
  );
}

/** Sets `size` aside for an attempt. */
export function addAttempt(
  load: WorkerLoad,
  task: TaskId,
  size: Resources,
): void {
  load.sizes.set(task, size);
  load.used = settleUse(addResources(load.used, size));
}

/** Frees what an attempt took. */
export function removeAttempt(load: WorkerLoad, task: TaskId): void {
  const use = useOf(load, task);
  load.sizes.delete(task);
  load.evicting.delete(task);
  load.observed.delete(task);
  load.used = settleUse(subtractResources(load.used, use));
}

/** Keeps what was seen of attempts; those not on the worker are ignored. */
export function observeAttempts(
  load: WorkerLoad,
  seen: Iterable<readonly [TaskId, Observation]>,
): void {
  for (const [task, observation] of seen) {
    if (load.sizes.has(task)) {
      load.observed.set(task, observation);
    }
  }
  sumUse(load);
}

/** Returns what an attempt takes: the larger of set-aside and observed. */
export function useOf(load: WorkerLoad, task: TaskId): Resources {
  const size = load.sizes.get(task) ?? NO_RESOURCES;
  const observed =
    load.observed.size === 0 ? undefined : load.observed.get(task);
  return observed === undefined ? size : maxResources(size, observed.usage);
}

/** Returns what the attempts that are being stopped will free. */
export function freeingOf(load: WorkerLoad): Resources {
  let sum = NO_RESOURCES;
  for (const task of load.evicting) {
    sum = addResources(sum, useOf(load, task));
  }
  return sum;
}

/** Notes a completed attempt that started at `startedAtWall`. */
export function addSuccess(load: WorkerLoad, startedAtWall: Instant): void {
  load.failures = [];
  if (isProbe(load, startedAtWall)) {
    load.probe = 'passed';
  }
}

/** Adds a failed attempt that started at `startedAtWall` to the worker's record. */
export function addFailure(
  load: WorkerLoad,
  failure: WorkerFailure,
  startedAtWall: Instant,
): void {
  load.failures = [...load.failures, failure].slice(-FAILURES_KEPT);
  if (isProbe(load, startedAtWall)) {
    load.probe = 'failed';
  }
}

function isProbe(load: WorkerLoad, startedAtWall: Instant): boolean {
  const until = load.quarantinedUntilWall;
  return until !== undefined && startedAtWall >= until;
}

const CPU_STEPS = 1e6;

/** Rounds processors to a millionth of a core, so that sums return to zero. */
export function settleUse(use: Resources): Resources {
  return { ...use, cpu: Math.round(use.cpu * CPU_STEPS) / CPU_STEPS };
}

function sumUse(load: WorkerLoad): void {
  let cpu = 0;
  let memoryMiB = 0;
  let accelerators = 0;
  for (const [task, size] of load.sizes) {
    const seen = load.observed.get(task)?.usage ?? size;
    cpu += Math.max(size.cpu, seen.cpu);
    memoryMiB += Math.max(size.memoryMiB, seen.memoryMiB);
    accelerators += Math.max(size.accelerators, seen.accelerators);
  }
  load.used = settleUse({ cpu, memoryMiB, accelerators });
}
