/** Tentative placement of several tasks, before any of them is started. */
import type { Step, Task } from './job.js';
import { addLoad, emptyWorkerRuns, type WorkerRuns } from './jobs-state.js';
import { chooseWorker } from './choose-worker.js';
import type { PlacementInput } from './placement.js';

/** Reserves capacity for tasks one by one, each within what the earlier reservations leave. */
export class Reservations {
  /** Placement input whose loads include the reservations, for further choices of workers. */
  readonly remaining: PlacementInput;

  private readonly reserved = new Map<string, WorkerRuns>();
  /** Number of reservations by step and worker. */
  private readonly placedByStep = new Map<Step, Map<string, number>>();

  /** Creates an empty set of reservations. */
  constructor(placement: PlacementInput) {
    this.remaining = {
      ...placement,
      loadOf: worker => {
        const load = placement.loadOf(worker);
        const reserved = this.reserved.get(worker);
        return reserved === undefined ? load : addLoads(load, reserved);
      },
      stepRunsOn: (task, worker) =>
        placement.stepRunsOn(task, worker) +
        (this.placedByStep.get(task.step)?.get(worker) ?? 0),
    };
  }

  /** Reserves capacity on the most suitable worker and returns its id; undefined if the task fits nowhere. */
  reserve(task: Task): string | undefined {
    const worker = chooseWorker(this.remaining, task)?.info.id;
    if (worker === undefined) {
      return undefined;
    }
    const reserved = this.reserved.get(worker) ?? emptyWorkerRuns();
    addLoad(reserved, task.step, 1);
    this.reserved.set(worker, reserved);
    this.countPlaced(task.step, worker);
    return worker;
  }

  private countPlaced(step: Step, worker: string): void {
    const byWorker = this.placedByStep.get(step) ?? new Map<string, number>();
    byWorker.set(worker, (byWorker.get(worker) ?? 0) + 1);
    this.placedByStep.set(step, byWorker);
  }
}

function addLoads(load: WorkerRuns, reserved: WorkerRuns): WorkerRuns {
  return {
    runs: load.runs,
    cpuMilli: load.cpuMilli + reserved.cpuMilli,
    servingCpuMilli: load.servingCpuMilli + reserved.servingCpuMilli,
    fillerCpuMilli: load.fillerCpuMilli + reserved.fillerCpuMilli,
    memoryMiB: load.memoryMiB + reserved.memoryMiB,
    accelerators: load.accelerators + reserved.accelerators,
  };
}
