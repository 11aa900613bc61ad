/**
 * Keeps workers for large tasks that have less of the room than is theirs. Small tasks fit wherever a little
 * comes free, and while more of them come a large one finds no place, whatever its turn. So tasks that
 * compete are told apart by size, and each size has a share of the room in use like its share of what is
 * asked for. While one that waits has less, workers are kept from smaller ones until it has.
 */
import { waitingTasks, type Run, type Step, type Task } from './job.js';
import { addLoad, emptyRuns, type WorkerRuns } from './jobs-state.js';
import type { TaskSize } from './spec.js';

/** What is asked for and in use of one size of task, in thousandths of a core. */
interface SizeDemand {
  readonly sizeClass: number;
  waiting: number;
  running: number;
  /** First in turn of those that wait; undefined where none does. */
  first: Task | undefined;
}

/** Sizes of the tasks that compete for the same room, by class. */
type Competitors = Map<number, SizeDemand>;

/** A worker with room to share. */
export interface RoomWorker {
  readonly info: { readonly id: string; readonly capacity: TaskSize };
}

/** What keeping workers goes by. */
export interface RoomSource<W extends RoomWorker> {
  readonly workers: readonly W[];
  readonly loadOf: (worker: string) => WorkerRuns;
  /** Whether a task may run there beside `load`, now or once what else runs there is over. */
  readonly suits: (worker: W, load: WorkerRuns, task: Task) => boolean;
}

/** The workers that are kept in one round. */
export class RoomShares {
  private readonly kept = new Map<string, Contest>();
  /** What will be left on each worker once all that ends there has, as far as it was asked for. */
  private readonly lasting = new Map<string, WorkerRuns>();

  /** Whether a worker is not kept from the tasks of a step. */
  admits(worker: string, step: Step): boolean {
    const keeper = this.kept.get(worker);
    if (keeper === undefined || !competes(step)) {
      return true;
    }
    const { group, sizeClass } = contestOf(step);
    return group !== keeper.group || sizeClass >= keeper.sizeClass;
  }

  /** Keeps workers for sizes that have too little; `waiting` are steps with tasks that wait, in turn. */
  keep<W extends RoomWorker>(
    waiting: Iterable<Step>,
    running: Iterable<Run>,
    from: RoomSource<W>,
  ): void {
    const groups = demandsOf(waiting, running);
    for (const [group, competitors] of groups) {
      for (const shortage of shortOf(competitors)) {
        this.keepFor(group, shortage, from);
      }
    }
  }

  private keepFor<W extends RoomWorker>(
    group: string,
    { task, sizeClass, missing }: Shortage,
    from: RoomSource<W>,
  ): void {
    const { cpuMilli } = task.step.spec.size;
    // Half a task is nearer to its share than none.
    const least = cpuMilli / 2;
    if (missing < least) {
      return;
    }
    let left = missing;
    for (const { id, room } of this.nearest(task, from)) {
      if (left < least) {
        return;
      }
      this.kept.set(id, { group, sizeClass });
      left -= Math.floor(room / cpuMilli) * cpuMilli;
    }
  }

  /** Workers that could have a task, those first that will have room for it the soonest. */
  private nearest<W extends RoomWorker>(
    task: Task,
    { workers, loadOf, suits }: RoomSource<W>,
  ): Nearby[] {
    const found: Nearby[] = [];
    for (const worker of workers) {
      const { id, capacity } = worker.info;
      const load = loadOf(id);
      const lasting = this.lastingAt(id, load);
      if (!this.kept.has(id) && suits(worker, lasting, task)) {
        const room = capacity.cpuMilli - lasting.cpuMilli;
        found.push({ id, room, free: room - inTheWay(load, task.step) });
      }
    }
    return found.sort((a, b) => b.free - a.free);
  }

  private lastingAt(worker: string, load: WorkerRuns): WorkerRuns {
    const known = this.lasting.get(worker);
    if (known !== undefined) {
      return known;
    }
    const found = lastingOf(load);
    this.lasting.set(worker, found);
    return found;
  }
}

/** A size that has less of the room than is its, and by how much. */
interface Shortage {
  readonly sizeClass: number;
  readonly task: Task;
  readonly missing: number;
}

/** A worker, its room for tasks that end, and what of that no smaller ones hold. */
interface Nearby {
  readonly id: string;
  readonly room: number;
  readonly free: number;
}

/** Among which tasks those of a step compete, and their size. */
interface Contest {
  readonly group: string;
  readonly sizeClass: number;
}

/** Worked out once a step: a round asks for that of each run. */
const contests = new WeakMap<Step, Contest>();

function contestOf(step: Step): Contest {
  const known = contests.get(step);
  if (known !== undefined) {
    return known;
  }
  const { service, priority } = step.occurrence.job.spec.terms;
  const { filler, size } = step.spec;
  // Fillers run in room that the others can't have. Sizes within a factor of two are alike.
  const found = {
    group: [service, priority, filler].join('/'),
    sizeClass: Math.floor(Math.log2(Math.max(1, size.cpuMilli))),
  };
  contests.set(step, found);
  return found;
}

function competes({ spec }: Step): boolean {
  return !spec.lasting && !spec.gang;
}

function demandsOf(
  waiting: Iterable<Step>,
  running: Iterable<Run>,
): Map<string, Competitors> {
  const groups = new Map<string, Competitors>();
  for (const step of waiting) {
    if (competes(step)) {
      const demand = demandOf(groups, step);
      const tasks = waitingTasks(step);
      demand.waiting += tasks.length * step.spec.size.cpuMilli;
      demand.first ??= tasks[0];
    }
  }
  if (groups.size === 0) {
    return groups;
  }
  for (const { task } of running) {
    // Where nothing waits, nothing is short.
    if (competes(task.step) && groups.has(contestOf(task.step).group)) {
      demandOf(groups, task.step).running += task.step.spec.size.cpuMilli;
    }
  }
  return groups;
}

function demandOf(groups: Map<string, Competitors>, step: Step): SizeDemand {
  const { group, sizeClass } = contestOf(step);
  const competitors = groups.get(group) ?? new Map<number, SizeDemand>();
  groups.set(group, competitors);
  const known = competitors.get(sizeClass);
  if (known !== undefined) {
    return known;
  }
  const created = { sizeClass, waiting: 0, running: 0, first: undefined };
  competitors.set(sizeClass, created);
  return created;
}

/** Sizes that wait and have less than their share, the largest first: the smallest fits anywhere. */
function shortOf(competitors: Competitors): Shortage[] {
  const all = [...competitors.values()];
  const sum = (of: (demand: SizeDemand) => number): number =>
    all.reduce((total, demand) => total + of(demand), 0);
  const inUse = sum(({ running }) => running);
  const asked = sum(({ running, waiting }) => running + waiting);
  const smallest = Math.min(...competitors.keys());
  return all
    .filter(({ sizeClass }) => sizeClass > smallest)
    .sort((a, b) => b.sizeClass - a.sizeClass)
    .flatMap(({ sizeClass, first, running, waiting }) => {
      const share = (inUse * (running + waiting)) / asked;
      const missing = Math.min(share - running, waiting);
      return first === undefined ? [] : [{ sizeClass, task: first, missing }];
    });
}

/** What is left of a load once all that ends has. */
function lastingOf(load: WorkerRuns): WorkerRuns {
  const left = emptyRuns();
  for (const [key, run] of load.runs) {
    if (run.task.step.spec.lasting) {
      left.runs.set(key, run);
      addLoad(left, run.task.step, 1);
    }
  }
  return left;
}

/** Processors of the tasks that end and are smaller than those of the step. */
function inTheWay({ runs }: WorkerRuns, step: Step): number {
  const { sizeClass } = contestOf(step);
  let sum = 0;
  for (const { task } of runs.values()) {
    const { lasting, size } = task.step.spec;
    const isSmaller = contestOf(task.step).sizeClass < sizeClass;
    sum += !lasting && isSmaller ? size.cpuMilli : 0;
  }
  return sum;
}
