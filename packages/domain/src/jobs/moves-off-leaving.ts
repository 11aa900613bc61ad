/** Decides which long-running tasks move off workers that are about to leave. */
import type { Run } from './job.js';
import { reservationsOf, type PlanInput } from './plan.js';

/**
 * Why a long-running task is still on a leaving worker: no other worker has capacity for it; its start is not
 * confirmed yet; its stop was already ordered; it is a gang member, and a single member is not moved.
 */
export type NotMovedReason = 'no_room' | 'not_confirmed' | 'stopping' | 'gang';

/** Decisions on the long-running tasks on workers that are about to leave. */
export interface MovesOffLeaving {
  /** Runs to stop, so that their tasks restart elsewhere. */
  readonly stop: readonly Run[];
  /** Runs that stay for now, with the reason. */
  readonly stay: ReadonlyMap<Run, NotMovedReason>;
}

/**
 * Decides which long-running runs to stop on workers that are about to leave. A task that goes down with its
 * worker is unavailable until its lease has certainly expired, 5 to 9 s; one that moves is unavailable only
 * for a stop and a start. A task moves only if it fits elsewhere, and that capacity stays reserved for the
 * rest of the round. Call this before other tasks are placed: a steady supply of them would otherwise take
 * all capacity that becomes free. Batch tasks stay, since most end before the worker leaves.
 */
export function planMovesOffLeaving(
  input: PlanInput,
  runsOnLeaving: readonly Run[],
): MovesOffLeaving {
  const reservations = reservationsOf(input);
  const stop: Run[] = [];
  const stay = new Map<Run, NotMovedReason>();
  for (const run of runsOnLeaving.filter(
    ({ task }) => task.step.spec.lasting,
  )) {
    const reason = stayReasonOf(run);
    if (reason !== undefined) {
      stay.set(run, reason);
    } else if (reservations.reserve(run.task) === undefined) {
      stay.set(run, 'no_room');
    } else {
      stop.push(run);
    }
  }
  return { stop, stay };
}

function stayReasonOf({ task, progress }: Run): NotMovedReason | undefined {
  if (task.step.spec.gang) {
    return 'gang';
  }
  if (progress?.confirmed !== true) {
    return 'not_confirmed';
  }
  return progress.stopping ? 'stopping' : undefined;
}
