/** Finds places for several tasks at once. */
import type { Step, Task } from './job.js';
import { addLoad, emptyRuns, type WorkerRuns } from './jobs-state.js';
import { chooseWorker, type PlaceInput } from './placement.js';

/** Places tasks one after the other, each with the room that the ones before it leave. */
export class Booking {
  /** What further choices go by: the present loads, and on top of them what was placed. */
  readonly rest: PlaceInput;

  private readonly booked = new Map<string, WorkerRuns>();
  /** Tasks placed by step and worker. */
  private readonly placed = new Map<Step, Map<string, number>>();

  /** Creates a booking in which nothing is placed. */
  constructor(input: PlaceInput) {
    this.rest = {
      ...input,
      loadOf: worker => {
        const load = input.loadOf(worker);
        const booked = this.booked.get(worker);
        return booked === undefined ? load : withBooked(load, booked);
      },
      spreadOf: (task, worker) =>
        input.spreadOf(task, worker) +
        (this.placed.get(task.step)?.get(worker) ?? 0),
    };
  }

  /** Returns the worker that suits the task best and takes the room there, undefined when none has room. */
  place(task: Task): string | undefined {
    const worker = chooseWorker(this.rest, task)?.info.id;
    if (worker === undefined) {
      return undefined;
    }
    const booked = this.booked.get(worker) ?? emptyRuns();
    addLoad(booked, task.step, 1);
    this.booked.set(worker, booked);
    this.notePlaced(task.step, worker);
    return worker;
  }

  private notePlaced(step: Step, worker: string): void {
    const byWorker = this.placed.get(step) ?? new Map<string, number>();
    byWorker.set(worker, (byWorker.get(worker) ?? 0) + 1);
    this.placed.set(step, byWorker);
  }
}

function withBooked(load: WorkerRuns, booked: WorkerRuns): WorkerRuns {
  return {
    runs: load.runs,
    cpuMilli: load.cpuMilli + booked.cpuMilli,
    servingCpuMilli: load.servingCpuMilli + booked.servingCpuMilli,
    fillerCpuMilli: load.fillerCpuMilli + booked.fillerCpuMilli,
    memoryMiB: load.memoryMiB + booked.memoryMiB,
    accelerators: load.accelerators + booked.accelerators,
  };
}
