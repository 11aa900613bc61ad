/** Tentative placement of several tasks, before any of them is started. */
import type { Task } from './job.js';
import { addLoad, emptyWorkerRuns, type WorkerRuns } from './jobs-state.js';
import { chooseWorker } from './choose-worker.js';
import type { PlacementInput } from './placement.js';
import { StepCounts } from './step-counts.js';

/** Reserves capacity for tasks one by one, each within what the earlier reservations leave. */
export class Reservations {
  /** Placement input whose loads include the reservations, for further choices of workers. */
  readonly remaining: PlacementInput;

  private readonly reserved = new Map<string, WorkerRuns>();
  private readonly counts = new StepCounts();

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
        placement.stepRunsOn(task, worker) + this.counts.get(task.step, worker),
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
    this.counts.add(task.step, worker);
    return worker;
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
