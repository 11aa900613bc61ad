/**
 * Which tasks are to blame for workers that are lost. A task may bring down each worker that starts it,
 * and takes along all that runs there; it is given up before it has cost more than a few. Those that
 * merely stood beside it, or on workers that crashed for other reasons, are not: a task that brings its workers
 * down does so at an age of its own, others are lost at any.
 */
import type { Millis, SpanBounds } from '../core/time.js';
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

/** Losses of a task that are remembered: several times as many as decide. */
const MAX_LOSSES = 20;

/** Blame in percent from which on a task is kept apart: two losses, of which neither was doubtful. */
const SUSPECT_AT = 60;

/** How long the loss of a worker is remembered. */
export const LOSS_MEMORY_MS: Millis = 60_000;

/** How far ages may be off at either end: reports and orders are on their way for some time. */
const AGE_SLACK_MS: Millis = 250;

/** Returns a task's blame in percent; 0 for one that is not under suspicion. */
export function suspicionPercent({ blame }: Task): number {
  const points = new Set(blame.losses.map(({ resumedFrom }) => resumedFrom));
  const counted = new Set<Loss>();
  for (const point of points) {
    const losses = blame.losses.filter(loss => loss.resumedFrom === point);
    mostAlike(losses).forEach(loss => counted.add(loss));
  }
  return blameOfAlike(blame.losses.filter(loss => counted.has(loss)));
}

/**
 * Returns those of the losses that may have happened at one age and speak against the task the most. Only
 * runs that resumed from the same checkpoint can be compared so: others do other work at the same age.
 */
function mostAlike(losses: readonly Loss[]): Loss[] {
  let most: Loss[] = [];
  for (const { age } of losses) {
    const alike = losses.filter(loss => mayBeAt(loss, age.from));
    if (weightOf(alike) > weightOf(most)) {
      most = alike;
    }
  }
  return most;
}

function mayBeAt({ age: { from, to } }: Loss, age: Millis): boolean {
  return from - AGE_SLACK_MS <= age && age <= to + AGE_SLACK_MS;
}

function weightOf(losses: readonly Loss[]): number {
  return losses.reduce((sum, { charge }) => sum + BLAME[charge], 0);
}

function blameOfAlike(losses: readonly Loss[]): number {
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
export function isAbandoned(task: Task): boolean {
  return suspicionPercent(task) >= GIVE_UP_AT;
}

/** Whether a task is kept apart from others until it is known whether it brings workers down. */
export function isSuspect(task: Task): boolean {
  return suspicionPercent(task) >= SUSPECT_AT;
}

/** Returns the workers that were lost under a task since it came under suspicion. */
export function workersLostUnder({ blame }: Task): string[] {
  return blame.losses.map(({ worker }) => worker);
}

/** Notes that a run of a task was lost with its worker. */
export function noteLoss(
  state: JobsState,
  task: Task,
  worker: string,
  suspicion: Suspicion,
  age: SpanBounds,
): void {
  switch (suspicion) {
    case 'unexplained':
      noteWorkerLoss(state, worker);
      task.blame.losses = [];
      return;
    case 'cleared':
      task.blame.losses = [];
      return;
    case 'sole':
    case 'shared':
    case 'doubtful':
      noteWorkerLoss(state, worker);
      addLosses(state, task, [
        { worker, charge: suspicion, age, resumedFrom: task.checkpoint },
      ]);
  }
}

/** Adds losses under a task to its blame. */
export function addLosses(
  state: JobsState,
  task: Task,
  losses: readonly Loss[],
): void {
  task.blame.losses.push(...losses);
  task.blame.losses = task.blame.losses.slice(-MAX_LOSSES);
  task.blame.since = state.now;
  state.suspects.add(task);
}

/** Once a task is given up, losses of the same workers say little of others: it was the reason for most. */
export function explainLosses({ suspects }: JobsState, givenUp: Task): void {
  const explained = new Set(workersLostUnder(givenUp));
  for (const task of suspects) {
    const losses = task === givenUp ? [] : task.blame.losses;
    for (const loss of losses.filter(({ worker }) => explained.has(worker))) {
      loss.charge = 'doubtful';
    }
  }
}

/** Notes that a worker was lost. */
export function noteWorkerLoss(
  { workerLosses, now }: JobsState,
  worker: string,
): void {
  for (const [lost, at] of workerLosses) {
    if (now - at >= LOSS_MEMORY_MS) {
      workerLosses.delete(lost);
    }
  }
  workerLosses.set(worker, now);
}
