/** Finds places for several tasks at once. */
import type { Step, Task } from './job.js';
import { addLoad, type WorkerRuns } from './jobs-state.js';
import { chooseWorker, type PlaceInput } from './placement.js';

/** Places tasks one after the other, each with the room that the ones before it leave. */
export class Booking {
  private readonly loads = new Map<string, WorkerRuns>();
  private readonly placed: { readonly step: Step; readonly worker: string }[] =
    [];
  private readonly input: PlaceInput;

  /** Creates a booking in which nothing is placed. */
  constructor(input: PlaceInput) {
    this.input = {
      ...input,
      loadOf: worker => this.loads.get(worker) ?? input.loadOf(worker),
      spreadOf: (task, worker) =>
        input.spreadOf(task, worker) + this.placedOf(task.step, worker),
    };
  }

  /** Returns the worker that suits the task best and takes the room there, undefined when none has room. */
  place(task: Task): string | undefined {
    const worker = chooseWorker(this.input, task)?.info.id;
    if (worker === undefined) {
      return undefined;
    }
    const load = { ...this.input.loadOf(worker) };
    addLoad(load, task.step, 1);
    this.loads.set(worker, load);
    this.placed.push({ step: task.step, worker });
    return worker;
  }

  private placedOf(step: Step, worker: string): number {
    return this.placed.filter(
      found => found.step === step && found.worker === worker,
    ).length;
  }
}
