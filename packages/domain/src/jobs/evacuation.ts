/** Decides which lasting tasks move off workers that are about to leave. */
import type { Run } from './job.js';
import { bookingOf, type PlanInput } from './plan.js';

/**
 * Why a lasting task is still on a worker that is about to leave: no other worker has room for it; its run
 * is not known to have begun; it was told to stop; it moves only with its gang.
 */
export type StayReason = 'no_room' | 'not_confirmed' | 'stopping' | 'gang';

/** What becomes of the lasting tasks on workers that are about to leave. */
export interface Evacuation {
  /** Runs to stop, so that their tasks begin again elsewhere. */
  readonly stop: readonly Run[];
  /** The other ones. */
  readonly stay: ReadonlyMap<Run, StayReason>;
}

/**
 * Decides on the runs on workers that are about to leave. A task that ends with its worker is away until
 * its lease has certainly lapsed, 5 to 9 s; one that moves is away for a stop and a start. Only as many
 * move as have room elsewhere, which is kept for them in the rest of the round: it is asked for before
 * other tasks are placed, since these would take each place that comes free for as long as more of them
 * come. Tasks that end by themselves mostly do so before the worker goes.
 */
export function planEvacuation(
  input: PlanInput,
  onLeaving: readonly Run[],
): Evacuation {
  const booking = bookingOf(input);
  const stop: Run[] = [];
  const stay = new Map<Run, StayReason>();
  for (const run of onLeaving.filter(({ task }) => task.step.spec.lasting)) {
    const fixed = whyFixed(run);
    if (fixed !== undefined) {
      stay.set(run, fixed);
    } else if (booking.place(run.task) === undefined) {
      stay.set(run, 'no_room');
    } else {
      stop.push(run);
    }
  }
  return { stop, stay };
}

function whyFixed({ task, progress }: Run): StayReason | undefined {
  if (task.step.spec.gang) {
    return 'gang';
  }
  if (progress?.confirmed !== true) {
    return 'not_confirmed';
  }
  return progress.stopping ? 'stopping' : undefined;
}
