/** Loads of workers with tasks that are placed tentatively: nothing starts, and the state of jobs is unchanged. */
import type { Run, Task } from './job.js';
import type { JournalMoment } from './journal-time.js';
import { addLoad, runKey, refOf, type WorkerRuns } from './jobs-state.js';
import { noteRunAdded } from './run-views.js';
import type { PlacementInput } from './placement.js';
import { StepCounts } from './step-counts.js';
import { taskName } from './task-ref.js';

/** Adds tasks to the loads of workers, each within what the earlier ones leave. */
export class TrialLoads {
  /** Placement input whose loads include the tasks that were added. */
  readonly placement: PlacementInput;

  private readonly loads = new Map<string, WorkerRuns>();
  private readonly counts = new StepCounts();

  /** Creates loads without added tasks. */
  constructor(private readonly base: PlacementInput) {
    this.placement = {
      ...base,
      loadOf: worker => this.loads.get(worker) ?? base.loadOf(worker),
      stepRunsOn: (task, worker) =>
        base.stepRunsOn(task, worker) + this.counts.get(task.step, worker),
    };
  }

  /** Adds a task to the load of a worker. */
  add(task: Task, worker: string): void {
    const load = this.ownLoadOf(worker);
    const run = trialRun(task, worker);
    load.runs.set(runKey(taskName(refOf(task)), 0), run);
    noteRunAdded(load.runs, run);
    addLoad(load, task.step, 1);
    this.counts.add(task.step, worker);
  }

  /** Returns the load of a worker that tasks may be added to, copied when the first one is. */
  private ownLoadOf(worker: string): WorkerRuns {
    const known = this.loads.get(worker);
    if (known !== undefined) {
      return known;
    }
    const load = this.base.loadOf(worker);
    const copied = { ...load, runs: new Map(load.runs) };
    this.loads.set(worker, copied);
    return copied;
  }
}

/** Start of a run that is not in the journal. */
const NO_MOMENT: JournalMoment = {
  nextRecordSlow: Infinity,
  previousRecordFast: -Infinity,
};

/** Returns a stand-in for the run of a task; no run has number 0. */
function trialRun(task: Task, worker: string): Run {
  return {
    task,
    number: 0,
    worker,
    openedAt: 0,
    startMoment: NO_MOMENT,
    progress: undefined,
  };
}
