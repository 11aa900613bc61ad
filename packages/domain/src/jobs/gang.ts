/** Gang scheduling: tasks that run only all together, on one rack if the step asks for it. */
import { Reservations } from './reservations.js';
import type { Run, Step } from './job.js';
import type { PlacementInput, PlanWorker } from './placement.js';

/** Returns a worker for each task of the step, or undefined if they do not all fit at once. */
export function placeGang(
  input: PlacementInput,
  step: Step,
): readonly string[] | undefined {
  if (step.spec.sameRack) {
    for (const workers of groupByRack(input.workers)) {
      const found = placeAllTasks({ ...input, workers }, step);
      if (found !== undefined) {
        return found;
      }
    }
  }
  // A gang that asks for one rack is slow on several, which is better than not running at all.
  return placeAllTasks(input, step);
}

/** Tells whether a gang member is missing (not done, and without this run), so the others can't go on. */
export function isBrokenGang({ task, number }: Run): boolean {
  const { spec, tasks } = task.step;
  return (
    spec.gang &&
    tasks.some(
      ({ status, runs }) =>
        status !== 'done' && !runs.some(run => run.number === number),
    )
  );
}

function groupByRack(workers: readonly PlanWorker[]): PlanWorker[][] {
  const racks = new Map<string, PlanWorker[]>();
  for (const worker of workers) {
    const rack = worker.info.rack ?? '';
    racks.set(rack, [...(racks.get(rack) ?? []), worker]);
  }
  return [...racks.values()];
}

/** Finds workers for all tasks of the step, or for none. */
function placeAllTasks(
  input: PlacementInput,
  step: Step,
): string[] | undefined {
  const reservations = new Reservations(input);
  const placed: string[] = [];
  for (const task of step.tasks) {
    const worker = reservations.reserve(task);
    if (worker === undefined) {
      return undefined;
    }
    placed.push(worker);
  }
  return placed;
}
