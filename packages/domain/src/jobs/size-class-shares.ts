/**
 * Reserves workers for large tasks that have less than their share of the capacity. Small tasks fit wherever
 * a little becomes free, so that a steady supply of them starves large ones, whatever their position in the
 * order. Competing tasks are therefore divided into size classes, and each class is entitled to a share of
 * the capacity in use in proportion to its demand. While a waiting class has less, workers are reserved for
 * it from smaller tasks.
 */
import { isWaiting, type Step, type Task } from './job.js';
import {
  addLoad,
  emptyWorkerRuns,
  refOf,
  runKey,
  type WorkerRuns,
} from './jobs-state.js';
import { runViewsOf, type RunViews } from './run-views.js';
import type { TaskSize } from './spec.js';
import { taskName } from './task-ref.js';

/** Processors requested by the waiting tasks of a size class, and in use by its running ones. */
interface SizeDemand {
  readonly sizeClass: number;
  waitingCpuMilli: number;
  runningCpuMilli: number;
  /** The first waiting task in scheduling order; undefined if there is none. */
  firstWaiting: Task | undefined;
}

/** Demand of tasks that compete for the same capacity, by size class. */
type DemandBySize = Map<number, SizeDemand>;

/** A worker and its capacity. */
export interface WorkerCapacity {
  readonly info: { readonly id: string; readonly capacity: TaskSize };
}

/** Input for reserving workers. */
export interface ReservationInput<W extends WorkerCapacity> {
  readonly workers: readonly W[];
  readonly loadOf: (worker: string) => WorkerRuns;
  /** Tells whether a worker could run a task beside `load`, now or once its other runs have ended. */
  readonly canRun: (worker: W, load: WorkerRuns, task: Task) => boolean;
}

/** Workers reserved for size classes in one round. */
export class SizeClassShares {
  private readonly reservedFor = new Map<string, TaskClass>();

  /** Tells whether tasks of a step may use a worker, which may be reserved for larger ones. */
  admits(worker: string, step: Step): boolean {
    const reservation = this.reservedFor.get(worker);
    if (reservation === undefined || !competes(step)) {
      return true;
    }
    const { group, sizeClass } = taskClassOf(step);
    return group !== reservation.group || sizeClass >= reservation.sizeClass;
  }

  /**
   * Reserves workers for size classes below their share; `waiting` are steps with waiting tasks in order, and
   * `openRuns` the number of open runs of each step that has any.
   */
  reserve<W extends WorkerCapacity>(
    waiting: Iterable<Step>,
    openRuns: Iterable<readonly [Step, number]>,
    input: ReservationInput<W>,
  ): void {
    const groups = demandByGroup(waiting, openRuns);
    for (const [group, demandBySize] of groups) {
      for (const shortage of shortagesOf(demandBySize)) {
        this.reserveFor(group, shortage, input);
      }
    }
  }

  private reserveFor<W extends WorkerCapacity>(
    group: string,
    { task, sizeClass, missingCpuMilli }: Shortage,
    input: ReservationInput<W>,
  ): void {
    const { cpuMilli } = task.step.spec.size;
    // A shortage of half a task or more is rounded up to a whole one.
    const minCpuMilli = cpuMilli / 2;
    if (missingCpuMilli < minCpuMilli) {
      return;
    }
    let left = missingCpuMilli;
    for (const { id, batchCpuMilli } of this.workersFor(task, input)) {
      if (left < minCpuMilli) {
        return;
      }
      this.reservedFor.set(id, { group, sizeClass });
      left -= Math.floor(batchCpuMilli / cpuMilli) * cpuMilli;
    }
  }

  /** Returns workers that could run a task, first those with the most processors unused by smaller tasks. */
  private workersFor<W extends WorkerCapacity>(
    task: Task,
    { workers, loadOf, canRun }: ReservationInput<W>,
  ): ReservableWorker[] {
    const found: ReservableWorker[] = [];
    for (const worker of workers) {
      const { id, capacity } = worker.info;
      const load = loadOf(id);
      const longRunning = longRunningLoadOf(load);
      if (!this.reservedFor.has(id) && canRun(worker, longRunning, task)) {
        const batchCpuMilli = capacity.cpuMilli - longRunning.cpuMilli;
        found.push({
          id,
          batchCpuMilli,
          freeCpuMilli: batchCpuMilli - smallerTasksCpuMilli(load, task.step),
        });
      }
    }
    return found.sort((a, b) => b.freeCpuMilli - a.freeCpuMilli);
  }
}

/** A size class with less than its share of the capacity, and how much it lacks. */
interface Shortage {
  readonly sizeClass: number;
  readonly task: Task;
  readonly missingCpuMilli: number;
}

/** A worker, its processors for batch tasks, and those of them that no smaller tasks use. */
interface ReservableWorker {
  readonly id: string;
  readonly batchCpuMilli: number;
  readonly freeCpuMilli: number;
}

/** The group of competing tasks that a step belongs to, and its size class. */
interface TaskClass {
  readonly group: string;
  readonly sizeClass: number;
}

/** Task class by step, cached because each round needs that of every run. */
const taskClasses = new WeakMap<Step, TaskClass>();

function taskClassOf(step: Step): TaskClass {
  const cached = taskClasses.get(step);
  if (cached !== undefined) {
    return cached;
  }
  const { service, priority } = step.occurrence.job.spec.terms;
  const { filler, size } = step.spec;
  // Fillers use capacity that is not available to other tasks. A size class spans a factor of two.
  const found = {
    group: [service, priority, filler].join('/'),
    sizeClass: Math.floor(Math.log2(Math.max(1, size.cpuMilli))),
  };
  taskClasses.set(step, found);
  return found;
}

function competes({ spec }: Step): boolean {
  return !spec.lasting && !spec.gang;
}

function demandByGroup(
  waitingSteps: Iterable<Step>,
  openRuns: Iterable<readonly [Step, number]>,
): Map<string, DemandBySize> {
  const groups = new Map<string, DemandBySize>();
  for (const step of waitingSteps) {
    if (competes(step)) {
      const demand = demandOf(groups, step);
      demand.waitingCpuMilli += step.waiting * step.spec.size.cpuMilli;
      demand.firstWaiting ??= step.tasks.find(isWaiting);
    }
  }
  if (groups.size === 0) {
    return groups;
  }
  for (const [step, runs] of openRuns) {
    // A group without waiting tasks cannot lack capacity.
    if (competes(step) && groups.has(taskClassOf(step).group)) {
      demandOf(groups, step).runningCpuMilli += runs * step.spec.size.cpuMilli;
    }
  }
  return groups;
}

function demandOf(groups: Map<string, DemandBySize>, step: Step): SizeDemand {
  const { group, sizeClass } = taskClassOf(step);
  const demandBySize = groups.get(group) ?? new Map<number, SizeDemand>();
  groups.set(group, demandBySize);
  const existing = demandBySize.get(sizeClass);
  if (existing !== undefined) {
    return existing;
  }
  const created = {
    sizeClass,
    waitingCpuMilli: 0,
    runningCpuMilli: 0,
    firstWaiting: undefined,
  };
  demandBySize.set(sizeClass, created);
  return created;
}

/**
 * Returns waiting size classes below their share, the largest first. The smallest class is left out, since it
 * fits anywhere.
 */
function shortagesOf(demandBySize: DemandBySize): Shortage[] {
  const all = [...demandBySize.values()];
  const sumOf = (of: (demand: SizeDemand) => number): number =>
    all.reduce((total, demand) => total + of(demand), 0);
  const inUse = sumOf(({ runningCpuMilli }) => runningCpuMilli);
  const demand = sumOf(
    ({ runningCpuMilli, waitingCpuMilli }) => runningCpuMilli + waitingCpuMilli,
  );
  const smallest = Math.min(...demandBySize.keys());
  return all
    .filter(({ sizeClass }) => sizeClass > smallest)
    .sort((a, b) => b.sizeClass - a.sizeClass)
    .flatMap(
      ({ sizeClass, firstWaiting, runningCpuMilli, waitingCpuMilli }) => {
        const share = (inUse * (runningCpuMilli + waitingCpuMilli)) / demand;
        const missingCpuMilli = Math.min(
          share - runningCpuMilli,
          waitingCpuMilli,
        );
        return firstWaiting === undefined
          ? []
          : [{ sizeClass, task: firstWaiting, missingCpuMilli }];
      },
    );
}

/** The load by the long-running tasks of a worker, and the state of its runs for which it holds. */
interface LongRunningLoad {
  readonly load: WorkerRuns;
  readonly lastingChanges: number;
}

const longRunningLoads = new WeakMap<RunViews, LongRunningLoad>();

/** Returns the part of a load that long-running tasks cause. */
function longRunningLoadOf({ runs }: WorkerRuns): WorkerRuns {
  const views = runViewsOf(runs);
  const cached = longRunningLoads.get(views);
  const { lasting, lastingChanges } = views;
  if (cached?.lastingChanges === lastingChanges) {
    return cached.load;
  }
  const load = emptyWorkerRuns();
  for (const run of lasting) {
    const { task, number } = run;
    load.runs.set(runKey(taskName(refOf(task)), number), run);
    addLoad(load, task.step, 1);
  }
  longRunningLoads.set(views, { load, lastingChanges });
  return load;
}

/** Returns the processors used by batch tasks of smaller size classes than that of the step. */
function smallerTasksCpuMilli({ runs }: WorkerRuns, step: Step): number {
  const { sizeClass } = taskClassOf(step);
  let sum = 0;
  for (const { task } of runViewsOf(runs).batch) {
    if (taskClassOf(task.step).sizeClass < sizeClass) {
      sum += task.step.spec.size.cpuMilli;
    }
  }
  return sum;
}
