/**
 * Which tasks are to blame for workers that are lost. A task may bring down each worker that starts it,
 * and takes along all that runs there; it is given up before it has cost more than a few. Those that
 * merely stood beside it, or on workers that crashed for other reasons, are not.
 */
import type { Millis } from '../core/time.js';
import type { Task } from './job.js';
import type { JobsState } from './jobs-state.js';
import type { Charge, Loss, Suspicion } from './loss.js';

/**
 * Blame in percent that a loss adds. A task is given up at 100: after three losses where one of them can
 * have had no other reason and the last was not doubtful, and after five whatever else is going on.
 */
const BLAME: Readonly<Record<Charge, number>> = {
  sole: 40,
  shared: 30,
  doubtful: 20,
};

/** Blame in percent at which a task is given up. */
const GIVE_UP_AT = 100;

/** Losses after which a task is given up however doubtful they are: users bear three, and two starts more. */
const MOST_LOSSES = 5;

/** Blame in percent from which on a task is kept apart: two losses, of which neither was doubtful. */
const SUSPECT_AT = 60;

/** How long a loss for which nothing is to blame is remembered. */
export const LOSS_MEMORY_MS: Millis = 60_000;

/** Returns a task's blame in percent; 0 for one that is not under suspicion. */
export function blameOf({ blame }: Task): number {
  const { losses } = blame;
  if (losses.length >= MOST_LOSSES) {
    return GIVE_UP_AT;
  }
  let sum = 0;
  for (const { charge } of losses) {
    sum += BLAME[charge];
    // A doubtful loss does not decide, whatever came before it.
    sum = charge === 'doubtful' ? Math.min(sum, GIVE_UP_AT - 1) : sum;
  }
  return sum;
}

/** Whether a task has cost so many workers that it is given up. */
export function isGivenUp(task: Task): boolean {
  return blameOf(task) >= GIVE_UP_AT;
}

/** Whether a task is kept apart from others until it is known whether it brings workers down. */
export function isSuspect(task: Task): boolean {
  return blameOf(task) >= SUSPECT_AT;
}

/** Returns the workers that were lost under a task since it came under suspicion. */
export function lostUnder({ blame }: Task): string[] {
  return blame.losses.map(({ worker }) => worker);
}

/** Notes that a run of a task was lost with its worker. */
export function noteLoss(
  state: JobsState,
  task: Task,
  worker: string,
  suspicion: Suspicion,
): void {
  switch (suspicion) {
    case 'unexplained':
      noteUnexplained(state, worker);
      task.blame.losses = [];
      return;
    case 'cleared':
      task.blame.losses = [];
      return;
    case 'sole':
    case 'shared':
    case 'doubtful':
      addLosses(state, task, [{ worker, charge: suspicion }]);
  }
}

/** Adds losses under a task to its blame. */
export function addLosses(
  state: JobsState,
  task: Task,
  losses: readonly Loss[],
): void {
  task.blame.losses.push(...losses);
  task.blame.since = state.now;
  state.suspects.add(task);
}

/** Once a task is given up, losses of the same workers say little of others: it was the reason for most. */
export function explainLosses({ suspects }: JobsState, givenUp: Task): void {
  const explained = new Set(lostUnder(givenUp));
  for (const task of suspects) {
    const losses = task === givenUp ? [] : task.blame.losses;
    for (const loss of losses.filter(({ worker }) => explained.has(worker))) {
      loss.charge = 'doubtful';
    }
  }
}

/** Notes that a worker was lost with nothing to blame. */
export function noteUnexplained(
  { unexplainedLosses, now }: JobsState,
  worker: string,
): void {
  for (const [lost, at] of unexplainedLosses) {
    if (now - at >= LOSS_MEMORY_MS) {
      unexplainedLosses.delete(lost);
    }
  }
  unexplainedLosses.set(worker, now);
}
