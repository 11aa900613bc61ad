/**
 * Which tasks are to blame for workers that are lost. A task may bring down each worker that starts it,
 * and takes along all that runs there; it is given up before it has cost more than a few. Those that
 * merely stood beside it, or on workers that crashed for other reasons, are not.
 */
import type { Instant, Millis } from '../core/time.js';
import type { Job, Run, Task } from './job.js';
import type { JobsState } from './jobs-state.js';

/** All values of `Suspicion`. */
export const SUSPICIONS = [
  /** Nothing of another job could have been the reason. */
  'sole',
  /** Runs of other jobs could have been it as well. */
  'shared',
  /** Workers are being lost for no such reason, or this one may only be out of reach. */
  'doubtful',
  /** It had been at work for long, and another run had not. */
  'cleared',
  /** All that ran there had been at work for long. */
  'unexplained',
] as const;

/** How far the run of a task may be the reason why its worker was lost. */
export type Suspicion = (typeof SUSPICIONS)[number];

/**
 * Blame in percent that a loss adds. A task is given up at 100: after three losses where one of them can
 * have had no other reason and the last was not doubtful, and after five whatever else is going on.
 */
const BLAME = {
  sole: 40,
  shared: 30,
  doubtful: 20,
} as const satisfies Partial<Record<Suspicion, number>>;

/** Blame in percent at which a task is given up. */
const GIVE_UP_AT = 100;

/** Losses after which a task is given up however doubtful they are. */
const MOST_LOSSES = 5;

/** Blame in percent from which on a task is kept apart: two losses, of which neither was doubtful. */
const SUSPECT_AT = 60;

/** A run that has been at work for this long is not the reason why its worker is lost. */
export const SETTLED_MS: Millis = 5_000;

/** Journal time stands still for this long between two records of how long a leader has led. */
const JOURNAL_STEP_MS: Millis = 1_000;

/** How long a loss for which nothing is to blame is remembered. */
const LOSS_MEMORY_MS: Millis = 60_000;

/** Chance of a sound worker to be lost while a run settles, from which on losses say little of tasks. */
const NOISY_CHANCE = 0.01;

/** What a task has cost so far. */
export interface Blame {
  /** In percent; 0 for a task that is not under suspicion. */
  percent: number;
  /** Workers that were lost under it since it came under suspicion. */
  readonly workers: string[];
  /** Monotonic time at which this host learnt of the last of these losses. */
  since: Instant;
}

/** Returns the blame of a task under which no worker was lost. */
export function noBlame(): Blame {
  return { percent: 0, workers: [], since: -Infinity };
}

/** How a loss is known. */
export interface LossEvidence {
  /** Whether the worker is gone, and not only out of reach. */
  readonly isCertain: boolean;
  /** Number of workers that are registered. */
  readonly fleetSize: number;
  /** Monotonic time at which this leader took over. */
  readonly leadsSince: Instant;
  readonly now: Instant;
}

/** Returns how far each of the runs that are lost with one worker may be the reason. */
export function suspicionsOf(
  state: JobsState,
  runs: readonly Run[],
  evidence: LossEvidence,
): Map<Run, Suspicion> {
  const { isCertain, leadsSince } = evidence;
  const settled = new Set(
    runs.filter(run => isSettled(state, run, leadsSince)),
  );
  const recent = runs.filter(run => !settled.has(run));
  const jobs = new Set(recent.map(jobOf));
  const isClear = isCertain && !isNoisy(state, evidence);
  const others = jobs.size === 1 ? 'sole' : 'shared';
  const ofRecent = isClear ? others : 'doubtful';
  const ofSettled = recent.length === 0 ? 'unexplained' : 'cleared';
  return new Map(
    runs.map(run => [run, settled.has(run) ? ofSettled : ofRecent]),
  );
}

/**
 * Whether a run is known to have been at work for so long that it does its worker no harm: from its
 * recorded start until it was last seen. `leadsSince` is when this host took over.
 */
export function isSettled(
  state: JobsState,
  run: Run,
  leadsSince: Instant,
): boolean {
  const { progress, openedAt } = run;
  const before = workedBefore(state, run);
  if (progress === undefined) {
    return before >= SETTLED_MS;
  }
  if (!progress.confirmed) {
    return false;
  }
  const isOwn = openedAt >= leadsSince;
  const own = progress.seenAt - (isOwn ? openedAt : leadsSince);
  return (isOwn ? own : before + own) >= SETTLED_MS;
}

/**
 * How long a run is known to have been at work under earlier leaders. These told which workers had ceased
 * to answer, and until when they led.
 */
function workedBefore(
  { journalTime, silentSince }: JobsState,
  { worker, opened }: Run,
): Millis {
  const seen = Math.min(
    journalTime.claimed,
    silentSince.get(worker) ?? Infinity,
  );
  return Math.max(0, seen - opened - JOURNAL_STEP_MS);
}

/** Whether so many workers are lost with nothing to blame that a loss says little of what ran there. */
function isNoisy(
  { unexplainedLosses }: JobsState,
  { fleetSize, now }: LossEvidence,
): boolean {
  const losses = [...unexplainedLosses.values()].filter(
    at => now - at < LOSS_MEMORY_MS,
  );
  const perWorker = losses.length / Math.max(1, fleetSize);
  return (perWorker * SETTLED_MS) / LOSS_MEMORY_MS > NOISY_CHANCE;
}

/** Notes that a run of a task was lost with its worker. */
export function noteLoss(
  state: JobsState,
  task: Task,
  worker: string,
  suspicion: Suspicion,
): void {
  const { blame } = task;
  switch (suspicion) {
    case 'unexplained':
      noteUnexplained(state, worker);
      clear(blame);
      return;
    case 'cleared':
      clear(blame);
      return;
    case 'sole':
    case 'shared':
    case 'doubtful':
      blame.workers.push(worker);
      blame.percent = percentAfter(blame, suspicion);
      blame.since = state.now;
      state.suspects.add(task);
  }
}

/** A doubtful loss does not decide by itself, whatever came before it. */
function percentAfter(
  { percent, workers }: Blame,
  suspicion: keyof typeof BLAME,
): number {
  if (workers.length >= MOST_LOSSES) {
    return GIVE_UP_AT;
  }
  const sum = percent + BLAME[suspicion];
  return suspicion === 'doubtful' ? Math.min(sum, GIVE_UP_AT - 1) : sum;
}

/** Whether a task is kept apart from others until it is known whether it brings workers down. */
export function isSuspect({ blame }: Task): boolean {
  return blame.percent >= SUSPECT_AT;
}

/** Whether a task has cost so many workers that it is given up. */
export function isGivenUp({ blame }: Task): boolean {
  return blame.percent >= GIVE_UP_AT;
}

function clear(blame: Blame): void {
  blame.percent = 0;
  blame.workers.length = 0;
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

function jobOf({ task }: Run): Job {
  return task.step.occurrence.job;
}
