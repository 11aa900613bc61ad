/** Judges how far each run that is lost with a worker may be the reason for the loss. */
import type { Instant, Millis, SpanBounds } from '../core/time.js';
import { LOSS_MEMORY_MS, workersLostUnder } from './suspect-tasks.js';
import { workerIdOf } from './incarnation.js';
import type { Job, Run } from './job.js';
import type { JobsState } from './jobs-state.js';
import type { Suspicion } from './loss.js';

/** A run that has been at work for this long is not the reason why its worker is lost. */
export const SETTLED_MS: Millis = 5_000;

/** A worker that falls silent is told to be so this much later at the most: looks wait 1 s and some. */
const TOLD_LATE_MS: Millis = 2_000;

/** How far the age of a lost run may be off at the most: a look at a worker that has crashed takes up to 1.5 s. */
const PLAIN_AGE_MS: Millis = 2_000;

/** Chance of a sound worker to be lost while a run settles, from which on losses say little of tasks. */
const NOISY_CHANCE = 0.01;

/**
 * What became of a worker: it has crashed; it is gone, and may have announced that; or it may be out of
 * reach, or has left as announced.
 */
export type WorkerLossKind = 'crashed' | 'gone' | 'unknown';

/** How a loss is known. */
export interface LossEvidence {
  readonly lossKind: WorkerLossKind;
  /** Number of workers that are registered. */
  readonly fleetSize: number;
  /** Monotonic time at which this leader took over. */
  readonly leadsSince: Instant;
  /** Monotonic time by which the worker was lost, if it was. */
  readonly lostBy: Instant;
  readonly now: Instant;
}

/** How far a run that is lost may be the reason, and at which age it was lost. */
export interface LossAttribution {
  readonly suspicion: Suspicion;
  readonly age: SpanBounds;
}

/** Returns how far each of the runs that are lost with one worker may be the reason. */
export function attributeLoss(
  state: JobsState,
  runs: readonly Run[],
  evidence: LossEvidence,
): Map<Run, LossAttribution> {
  const { lossKind: fate, leadsSince } = evidence;
  const settled = new Set(
    runs.filter(run => isSettled(state, run, leadsSince)),
  );
  const recent = runs.filter(run => !settled.has(run));
  const jobs = new Set(recent.map(jobOf));
  const others = jobs.size === 1 ? 'sole' : 'shared';
  const isUnexplained = fate !== 'unknown' && recent.length === 0;
  const ofSettled = isUnexplained ? 'unexplained' : 'cleared';
  return new Map(
    runs.map(run => {
      const age = ageOf(state, run, evidence);
      const isCalm = !isNoisy(state, run, evidence);
      const isClear = fate === 'crashed' && isCalm && isPlain(age);
      const ofRecent = isClear ? others : 'doubtful';
      const suspicion = settled.has(run) ? ofSettled : ofRecent;
      return [run, { suspicion, age }];
    }),
  );
}

/** Whether an age is known well enough to be told from that of another loss. */
function isPlain({ from, to }: SpanBounds): boolean {
  return to - from <= PLAIN_AGE_MS;
}

function ageOf(
  state: JobsState,
  run: Run,
  { leadsSince, lostBy }: LossEvidence,
): SpanBounds {
  const from = Math.floor(workedFor(state, run, leadsSince));
  const isOwn = run.openedAt >= leadsSince;
  const to = isOwn
    ? lostBy - run.openedAt
    : state.journalTime.before(run.opened).to + lostBy - leadsSince;
  return { from, to: Math.max(from, Math.ceil(to)) };
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
  return workedFor(state, run, leadsSince) >= SETTLED_MS;
}

function workedFor(state: JobsState, run: Run, leadsSince: Instant): Millis {
  const { progress, openedAt } = run;
  if (progress === undefined) {
    return workedBefore(state, run);
  }
  if (!progress.confirmed) {
    return 0;
  }
  const seenFor = progress.seenAt - openedAt;
  return openedAt >= leadsSince
    ? seenFor
    : Math.max(seenFor, seenSince(state, run) + progress.seenAt - leadsSince);
}

/** How long before this leader began a run that it has seen was at work. */
function seenSince({ journalTime }: JobsState, { opened }: Run): Millis {
  return journalTime.before(opened).from;
}

/**
 * How long a run that this leader has not seen was at work under earlier ones. These told which workers had
 * ceased to answer, and until when they led.
 */
function workedBefore(
  { journalTime, silentSince }: JobsState,
  { worker, opened }: Run,
): Millis {
  const seen = Math.min(
    journalTime.ledUntil,
    silentSince.get(workerIdOf(worker)) ?? Infinity,
  );
  return Math.max(0, seen - opened.at - TOLD_LATE_MS);
}

/** Whether so many workers are lost without a task that a loss says little of it. */
function isNoisy(
  { workerLosses }: JobsState,
  { task, worker }: Run,
  { fleetSize, now }: LossEvidence,
): boolean {
  const own = new Set([worker, ...workersLostUnder(task)]);
  const losses = [...workerLosses].filter(
    ([lost, at]) => now - at < LOSS_MEMORY_MS && !own.has(lost),
  );
  const perWorker = losses.length / Math.max(1, fleetSize);
  return (perWorker * SETTLED_MS) / LOSS_MEMORY_MS > NOISY_CHANCE;
}

function jobOf({ task }: Run): Job {
  return task.step.occurrence.job;
}
