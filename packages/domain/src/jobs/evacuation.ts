/** Decides which lasting tasks move off workers that are about to leave. */
import { Booking } from './booking.js';
import type { Run } from './job.js';
import { placeInputOf, type PlanInput } from './plan.js';

/**
 * Returns the runs to stop, of those on workers that are about to leave, so that their tasks begin
 * again elsewhere. A task that ends with its worker is away until its lease has certainly lapsed, 5 to
 * 9 s; one that moves is away for a stop and a start. Only as many move as have room elsewhere. Tasks
 * that end by themselves mostly do so before the worker goes.
 */
export function planEvacuation(
  input: PlanInput,
  onLeaving: readonly Run[],
): Run[] {
  // Those that move already have their room kept in what is left.
  const booking = new Booking(placeInputOf(input));
  return onLeaving
    .filter(isMovable)
    .filter(({ task }) => booking.place(task) !== undefined);
}

function isMovable({ task, progress }: Run): boolean {
  const { lasting, gang } = task.step.spec;
  return lasting && !gang && progress?.confirmed === true && !progress.stopping;
}
