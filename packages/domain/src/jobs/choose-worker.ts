/** Chooses workers for tasks, and compares all of them only once for equivalent tasks of one step. */
import type { Step, Task } from './job.js';
import {
  boundRankAt,
  exactRankAt,
  type PlacementInput,
  type PlanWorker,
  type Rank,
} from './placement.js';

/** Returns the most suitable worker for the task, or undefined if none has capacity for it. */
export function chooseWorker(
  input: PlacementInput,
  task: Task,
): PlanWorker | undefined {
  return new RankedWorkers(input, task).findBest();
}

/** The workers, ranked for a task. */
class RankedWorkers {
  private readonly ranks: Rank[] = [];
  private readonly indexOf = new Map<string, number>();

  constructor(
    private readonly input: PlacementInput,
    private readonly task: Task,
  ) {
    for (const worker of input.workers) {
      this.indexOf.set(worker.info.id, this.ranks.length);
      this.ranks.push(boundRankAt(input, worker, task));
    }
  }

  /** Returns the worker with the highest rank, the first of several; undefined if none is usable. */
  findBest(): PlanWorker | undefined {
    for (;;) {
      const at = this.indexOfHighest();
      const best = this.input.workers[at];
      if (best === undefined || this.ranks[at]?.isExact !== false) {
        return best;
      }
      this.ranks[at] = exactRankAt(this.input, best, this.task);
    }
  }

  /** Ranks a worker again whose load has changed. */
  update(id: string): void {
    const at = this.indexOf.get(id) ?? -1;
    const worker = this.input.workers[at];
    if (worker !== undefined) {
      this.ranks[at] = boundRankAt(this.input, worker, this.task);
    }
  }

  private indexOfHighest(): number {
    let found = -1;
    let highest = -Infinity;
    this.ranks.forEach(({ value }, at) => {
      if (value > highest) {
        found = at;
        highest = value;
      }
    });
    return found;
  }
}

/** Chooses workers for tasks that start one after the other, while nothing else changes loads. */
export class WorkerChooser {
  private step: Step | undefined;
  private ranked: RankedWorkers | undefined;

  /** Creates a chooser that has compared no workers yet. */
  constructor(private readonly input: PlacementInput) {}

  /** Returns the most suitable worker for the task, or undefined if none has capacity for it. */
  choose(task: Task): PlanWorker | undefined {
    if (!isAsGoodAsNew(task)) {
      return chooseWorker(this.input, task);
    }
    if (this.ranked === undefined || this.step !== task.step) {
      this.step = task.step;
      this.ranked = new RankedWorkers(this.input, task);
    }
    return this.ranked.findBest();
  }

  /** Notes that a task has started on a worker. */
  noteStart(worker: string): void {
    this.ranked?.update(worker);
  }
}

/** Tells whether nothing that has happened to a task affects where it is placed. */
function isAsGoodAsNew({ failures, failedOn, lossHistory }: Task): boolean {
  return (
    failures === 0 && failedOn.size === 0 && lossHistory.losses.length === 0
  );
}
