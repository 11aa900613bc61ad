/**
 * Finds tasks that crash their workers. Such a task may crash every worker that starts it, along with all
 * that runs there, so it is abandoned after a few losses. Tasks that merely ran beside it, or on workers that
 * crashed for other reasons, are not: a task that crashes its workers does so at a characteristic age of its
 * runs, whereas other losses happen at any age.
 */
import type { Millis } from '../core/time.js';
import type { Job, Task } from './job.js';
import type { JobsState } from './jobs-state.js';
import {
  SETTLED_MS,
  type CountedSuspicion,
  type Loss,
  type LossAttribution,
} from './loss.js';

/**
 * Suspicion in percent that a loss adds. A task is abandoned at 100: after three losses if one of them can
 * have no other cause and the last is not doubtful, and after five in any case.
 */
const SUSPICION_PERCENT: Readonly<Record<CountedSuspicion, number>> = {
  sole: 40,
  shared: 30,
  doubtful: 20,
};

/** Suspicion in percent that a loss adds if other workers were lost at the same time. */
const CONCURRENT_LOSS_PERCENT = 10;

/** Maximum of that for all such losses: alone they make no task suspected. */
const MAX_CONCURRENT_PERCENT = 30;

/** Suspicion in percent at which a task is abandoned. */
const ABANDON_AT_PERCENT = 100;

/**
 * Losses at which a task is abandoned even if all are doubtful: users accept three, and two more starts. More
 * are needed only where a healthy task may be lost as often.
 */
const ABANDON_AT_LOSSES = 5;

/** Losses from which a task that was lost together with others is in doubt. */
const IN_DOUBT_AT_LOSSES = 2;

/** Interval of joint losses below which a run that has just started is often hit by the next one. */
const JOINT_LOSS_INTERVAL_MS: Millis = 2_000;

/** Probability of losing a healthy task as often: some thousand starts may be lost with their workers. */
const MAX_CHANCE = 1e-5;

/** Maximum number of losses kept for a task: several times as many as are needed to abandon it. */
const MAX_KEPT_LOSSES = 20;

/** Maximum number of lost workers whose tasks are kept: more than a fleet has. */
const MAX_KEPT_WORKERS = 4_000;

/** Suspicion in percent at which a task is isolated: two losses that are not doubtful reach it. */
const SUSPECT_AT_PERCENT = 60;

/** How long the loss of a worker is kept. */
export const LOSS_RETENTION_MS: Millis = 60_000;

/** Tolerance at both bounds of an age, for the time that reports and commands are in transit. */
const AGE_TOLERANCE_MS: Millis = 250;

/** Computed suspicion by list of losses; such lists are replaced and never changed. */
const percentByLosses = new WeakMap<readonly Loss[], number>();

/** Returns the suspicion against a task in percent; 0 if there is none. */
export function suspicionPercent({ lossHistory }: Task): number {
  const { losses } = lossHistory;
  const percent = percentByLosses.get(losses) ?? computePercent(losses);
  percentByLosses.set(losses, percent);
  return percent;
}

function computePercent(all: readonly Loss[]): number {
  const checkpoints = new Set(all.map(({ resumedFrom }) => resumedFrom));
  const counted = new Set<Loss>();
  for (const checkpoint of checkpoints) {
    const losses = all.filter(loss => loss.resumedFrom === checkpoint);
    largestSameAgeGroup(losses).forEach(loss => counted.add(loss));
  }
  return countedPercent(all.filter(loss => counted.has(loss)));
}

/**
 * Returns the group of losses that may have happened at the same age and count most against the task. Only
 * runs that resumed from the same checkpoint are comparable: others do different work at the same age.
 */
function largestSameAgeGroup(losses: readonly Loss[]): Loss[] {
  let largest: Loss[] = [];
  for (const { age } of losses) {
    const group = losses.filter(loss => mayHaveAge(loss, age.from));
    if (totalPercent(group) > totalPercent(largest)) {
      largest = group;
    }
  }
  return largest;
}

function mayHaveAge({ age: { from, to } }: Loss, age: Millis): boolean {
  return from - AGE_TOLERANCE_MS <= age && age <= to + AGE_TOLERANCE_MS;
}

function totalPercent(losses: readonly Loss[]): number {
  return losses.reduce((sum, loss) => sum + percentOf(loss), 0);
}

function percentOf(loss: Loss): number {
  return isConcurrent(loss)
    ? CONCURRENT_LOSS_PERCENT
    : SUSPICION_PERCENT[loss.suspicion];
}

function isConcurrent({ concurrentShare = 0 }: Loss): boolean {
  return concurrentShare > 0;
}

function countedPercent(losses: readonly Loss[]): number {
  if (losses.length >= ABANDON_AT_LOSSES && !mayBeChance(losses)) {
    return ABANDON_AT_PERCENT;
  }
  let sum = Math.min(
    MAX_CONCURRENT_PERCENT,
    totalPercent(losses.filter(isConcurrent)),
  );
  for (const loss of losses.filter(other => !isConcurrent(other))) {
    sum += percentOf(loss);
    // A doubtful loss never brings the sum to the limit, whatever came before it.
    sum =
      loss.suspicion === 'doubtful'
        ? Math.min(sum, ABANDON_AT_PERCENT - 1)
        : sum;
  }
  return sum;
}

/**
 * Tells whether a healthy task may have been lost as often, since workers are being lost for other reasons. A
 * run is lost by chance at any age, so that a precisely known age says more. Runs that start again together
 * after joint losses are all of one age at the next, so that of these only a low age says more.
 */
function mayBeChance(losses: readonly Loss[]): boolean {
  const noise = Math.max(...losses.map(loss => loss.noise ?? 0));
  const chance = losses.reduce((product, { age, concurrentShare = 0 }) => {
    const spanMs = age.to - age.from + 2 * AGE_TOLERANCE_MS;
    const alone = noise * Math.min(1, spanMs / SETTLED_MS);
    const untilMs = age.to + AGE_TOLERANCE_MS;
    const together =
      concurrentShare * Math.min(1, untilMs / JOINT_LOSS_INTERVAL_MS);
    return product * Math.max(alone, together);
  }, 1);
  return chance > MAX_CHANCE;
}

/** Tells whether a task is abandoned because too many workers were lost while they ran it. */
export function isAbandoned(task: Task): boolean {
  return suspicionPercent(task) >= ABANDON_AT_PERCENT;
}

/**
 * Tells whether a task is isolated from others until it is known whether it crashes workers. Losses of several
 * workers at the same time say little, so that tasks which suffer them do not explain each other's losses.
 */
export function isSuspect(task: Task): boolean {
  return suspicionPercent(task) >= SUSPECT_AT_PERCENT;
}

/** Returns the jobs of the tasks that are suspected. */
export function suspectedJobs({ suspects }: JobsState): Set<Job> {
  const tasks = [...suspects].filter(isSuspect);
  return new Set(tasks.map(({ step }) => step.occurrence.job));
}

/**
 * Tells whether a task was lost several times and at least once together with other workers: it or one of
 * those lost with it may be the cause.
 */
export function isInDoubt({ lossHistory }: Task): boolean {
  const { losses } = lossHistory;
  return losses.length >= IN_DOUBT_AT_LOSSES && losses.some(isConcurrent);
}

/**
 * Tells whether the next loss may decide that a task is abandoned, however doubtful it is: users accept no
 * further start of a task that crashes its workers.
 */
export function isLastDoubt({ lossHistory }: Task): boolean {
  return lossHistory.losses.length >= ABANDON_AT_LOSSES - 1;
}

/** Returns the workers that were lost while they ran a task, since it came under suspicion. */
export function workersLostUnder({ lossHistory }: Task): string[] {
  return lossHistory.losses.map(({ worker }) => worker);
}

/** Notes that a run of a task was lost with its worker. */
export function noteLoss(
  state: JobsState,
  task: Task,
  worker: string,
  { suspicion, age, noise, concurrentShare }: LossAttribution,
): void {
  switch (suspicion) {
    case 'unexplained':
      noteWorkerLoss(state, worker);
      task.lossHistory.losses = [];
      return;
    case 'cleared':
      task.lossHistory.losses = [];
      return;
    case 'unrelated':
      return;
    case 'sole':
    case 'shared':
    case 'doubtful': {
      noteWorkerLoss(state, worker);
      const loss = { worker, suspicion, age, resumedFrom: task.checkpoint };
      addLosses(state, task, [
        {
          ...loss,
          ...(noise > 0 ? { noise } : {}),
          ...(concurrentShare > 0 ? { concurrentShare } : {}),
        },
      ]);
    }
  }
}

/** Adds losses to the history of a task. */
export function addLosses(
  state: JobsState,
  task: Task,
  losses: readonly Loss[],
): void {
  const { lossHistory } = task;
  lossHistory.losses = [...lossHistory.losses, ...losses].slice(
    -MAX_KEPT_LOSSES,
  );
  lossHistory.lastLossAt = state.now;
  state.suspects.add(task);
  for (const { worker } of losses) {
    noteLostUnder(state, worker, task);
  }
}

/**
 * Marks losses of `workers` as doubtful for other tasks: the abandoned task, undefined if it is unknown here,
 * caused most of them.
 */
export function discountExplainedLosses(
  state: JobsState,
  workers: readonly string[],
  abandoned: Task | undefined,
): void {
  for (const worker of workers) {
    for (const { lossHistory } of tasksLostWith(state, worker, abandoned)) {
      lossHistory.losses = lossHistory.losses.map(loss =>
        loss.worker === worker ? { ...loss, suspicion: 'doubtful' } : loss,
      );
    }
  }
}

/** Takes back the losses of an incarnation that has answered again: it was only unreachable. */
export function retractLosses(state: JobsState, worker: string): void {
  state.workerLosses.delete(worker);
  for (const { lossHistory } of tasksLostWith(state, worker)) {
    lossHistory.losses = lossHistory.losses.filter(
      loss => loss.worker !== worker,
    );
  }
  state.tasksLostWith.delete(worker);
}

/**
 * Returns the tasks that have lost a worker. Does not depend on whether they are still suspects: hosts remove
 * these at different times.
 */
function tasksLostWith(
  state: JobsState,
  worker: string,
  except?: Task,
): Task[] {
  const tasks = state.tasksLostWith.get(worker) ?? new Set();
  return [...tasks].filter(task => task !== except);
}

function noteLostUnder(
  { tasksLostWith: byWorker }: JobsState,
  worker: string,
  task: Task,
): void {
  const tasks = byWorker.get(worker) ?? new Set();
  byWorker.set(worker, tasks.add(task));
  const [oldest] = byWorker.keys();
  if (byWorker.size > MAX_KEPT_WORKERS && oldest !== undefined) {
    byWorker.delete(oldest);
  }
}

/** Notes that a worker was lost. */
export function noteWorkerLoss(
  { workerLosses, now }: JobsState,
  worker: string,
): void {
  for (const [lost, at] of workerLosses) {
    if (now - at >= LOSS_RETENTION_MS) {
      workerLosses.delete(lost);
    }
  }
  workerLosses.set(worker, now);
}
