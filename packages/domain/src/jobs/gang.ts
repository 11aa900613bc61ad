/** Gangs: tasks that work only all together, on one rack where they ask for it. */
import { Booking } from './reservations.js';
import type { Run, Step } from './job.js';
import type { PlaceInput, PlanWorker } from './placement.js';

/** Returns a worker for each task of the step, undefined when not all have room at once. */
export function placeGang(
  input: PlaceInput,
  step: Step,
): readonly string[] | undefined {
  if (step.spec.sameRack) {
    for (const workers of byRack(input.workers)) {
      const found = placeAll({ ...input, workers }, step);
      if (found !== undefined) {
        return found;
      }
    }
  }
  // On several racks a gang that asks for one is slow, which is better than not to run.
  return placeAll(input, step);
}

/** Tells whether a member is missing, so that the others wait in vain. */
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

function byRack(workers: readonly PlanWorker[]): PlanWorker[][] {
  const racks = new Map<string, PlanWorker[]>();
  for (const worker of workers) {
    const rack = worker.info.rack ?? '';
    racks.set(rack, [...(racks.get(rack) ?? []), worker]);
  }
  return [...racks.values()];
}

/** Places all tasks of the step, or none. */
function placeAll(input: PlaceInput, step: Step): string[] | undefined {
  const booking = new Booking(input);
  const placed: string[] = [];
  for (const task of step.tasks) {
    const worker = booking.place(task);
    if (worker === undefined) {
      return undefined;
    }
    placed.push(worker);
  }
  return placed;
}
