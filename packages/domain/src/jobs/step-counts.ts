/** Number of tasks by step and worker. */
import type { Step } from './job.js';

/** Counts tasks that are placed tentatively. */
export class StepCounts {
  private readonly counts = new Map<Step, Map<string, number>>();

  /** Counts one more task of a step on a worker. */
  add(step: Step, worker: string): void {
    const byWorker = this.counts.get(step) ?? new Map<string, number>();
    byWorker.set(worker, this.get(step, worker) + 1);
    this.counts.set(step, byWorker);
  }

  /** Returns the number of tasks of a step that were counted on a worker. */
  get(step: Step, worker: string): number {
    return this.counts.get(step)?.get(worker) ?? 0;
  }
}
