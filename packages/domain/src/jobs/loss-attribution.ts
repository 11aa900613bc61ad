/** Judges how likely each run that was lost with a worker is to have caused the loss. */
import type { Instant, Millis, SpanBounds } from '../core/time.js';
import { workerIdOf } from './incarnation.js';
import type { Job, Run } from './job.js';
import type { JobsState } from './jobs-state.js';
import { SETTLED_MS, type LossAttribution } from './loss.js';
import { OtherLosses } from './other-losses.js';

export { SETTLED_MS, type LossAttribution } from './loss.js';

/** Maximum delay until a silent worker is reported as unresponsive: polls wait a little over 1 s. */
const SILENCE_REPORT_DELAY_MS: Millis = 2_000;

/** Maximum uncertainty of an age that counts as precise: a poll of a crashed worker takes up to 1.5 s. */
const MAX_AGE_UNCERTAINTY_MS: Millis = 2_000;

/**
 * How a worker was lost: `crashed`; `gone` if it was removed from the registry, perhaps after it had
 * announced its departure; `left` if it had announced that; or `unreachable` if it is still registered.
 */
export type WorkerLossKind = 'crashed' | 'gone' | 'left' | 'unreachable';

/** Evidence about the loss of a worker. */
export interface LossEvidence {
  readonly lossKind: WorkerLossKind;
  /** Number of workers that are registered. */
  readonly fleetSize: number;
  /** Monotonic time at which this leader took over. */
  readonly leadsSince: Instant;
  /** Latest monotonic time at which the worker can have been lost. */
  readonly lostBy: Instant;
  readonly now: Instant;
}

/** Judges each of the runs that were lost with one worker. */
export function attributeLoss(
  state: JobsState,
  runs: readonly Run[],
  evidence: LossEvidence,
): Map<Run, LossAttribution> {
  const { lossKind, leadsSince } = evidence;
  const settled = new Set(
    runs.filter(run => isSettled(state, run, leadsSince)),
  );
  const recent = runs.filter(run => !settled.has(run));
  const jobs = new Set(recent.map(jobOf));
  const undoubted = jobs.size === 1 ? 'sole' : 'shared';
  const isKnownLoss = lossKind === 'crashed' || lossKind === 'gone';
  const isUnexplained = isKnownLoss && recent.length === 0;
  const forSettled = isUnexplained ? 'unexplained' : 'cleared';
  const others = new OtherLosses(state, evidence);
  return new Map(
    runs.map(run => {
      const age = ageBounds(state, run, evidence);
      const noise = others.noiseFor(run);
      const concurrentShare = others.concurrentShareFor(run);
      const isUndoubted =
        lossKind === 'crashed' &&
        others.isFleetHealthyFor(run) &&
        isPrecise(age) &&
        concurrentShare === 0;
      const forRecent = isUndoubted ? undoubted : 'doubtful';
      const counted = lossKind === 'left' ? 'unrelated' : forRecent;
      const suspicion = settled.has(run) ? forSettled : counted;
      return [run, { suspicion, age, noise, concurrentShare }];
    }),
  );
}

/** Returns the jobs with runs at a worker that have not settled. */
export function unsettledJobs(
  state: JobsState,
  runs: Iterable<Run>,
  leadsSince: Instant,
): Set<Job> {
  const unsettled = [...runs].filter(run => !isSettled(state, run, leadsSince));
  return new Set(unsettled.map(jobOf));
}

/** Tells whether an age is known precisely enough to compare it with the ages of other losses. */
function isPrecise({ from, to }: SpanBounds): boolean {
  return to - from <= MAX_AGE_UNCERTAINTY_MS;
}

function ageBounds(
  state: JobsState,
  run: Run,
  { leadsSince, lostBy }: LossEvidence,
): SpanBounds {
  const from = Math.floor(minAge(state, run, leadsSince));
  const isOwn = run.openedAt >= leadsSince;
  const to = isOwn
    ? lostBy - run.openedAt
    : state.journalTime.spanBeforeLeader(run.startMoment).to +
      lostBy -
      leadsSince;
  return { from, to: Math.max(from, Math.ceil(to)) };
}

/**
 * Tells whether a run is known to have been running for so long, from its recorded start until it was last
 * seen, that it does not crash its worker. `leadsSince` is the time at which this host took over.
 */
export function isSettled(
  state: JobsState,
  run: Run,
  leadsSince: Instant,
): boolean {
  return minAge(state, run, leadsSince) >= SETTLED_MS;
}

function minAge(state: JobsState, run: Run, leadsSince: Instant): Millis {
  const { progress, openedAt } = run;
  if (progress === undefined) {
    return minAgeUnderEarlierLeaders(state, run);
  }
  if (!progress.confirmed) {
    return 0;
  }
  const seenFor = progress.seenAt - openedAt;
  return openedAt >= leadsSince
    ? seenFor
    : Math.max(
        seenFor,
        minAgeAtTakeover(state, run) + progress.seenAt - leadsSince,
      );
}

/** Returns the minimum age that a run had when this leader took over. */
function minAgeAtTakeover(
  { journalTime }: JobsState,
  { startMoment }: Run,
): Millis {
  return journalTime.spanBeforeLeader(startMoment).from;
}

/**
 * Returns the minimum age that a run reached under earlier leaders, for a run that this leader has not seen.
 * Earlier leaders reported which workers had stopped answering, and how long they themselves led.
 */
function minAgeUnderEarlierLeaders(
  { journalTime, unresponsiveSince }: JobsState,
  { worker, startMoment }: Run,
): Millis {
  const seen = Math.min(
    journalTime.previousLeaderUntil,
    unresponsiveSince.get(workerIdOf(worker)) ?? Infinity,
  );
  return Math.max(
    0,
    seen - startMoment.nextRecordSlow - SILENCE_REPORT_DELAY_MS,
  );
}

function jobOf({ task }: Run): Job {
  return task.step.occurrence.job;
}
