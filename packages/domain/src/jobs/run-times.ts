/** Run times learned by queue and image, since callers' own estimates are inaccurate. */
import type { Instant, Millis } from '../core/time.js';
import { fullSpeedMs } from './full-speed.js';
import type { Run, Step } from './job.js';
import {
  MAX_LEARNED_ENTRIES,
  type LearnedEstimates,
} from './learned-estimates.js';

/** Weight of a new run time in the average: about ten runs replace what was learned before. */
const NEW_RUN_WEIGHT = 0.1;

/** Weight of the caller's estimate against the learned average; without an average it is used alone. */
const CALLER_ESTIMATE_WEIGHT = 0.25;

/** Learns how long tasks run. All times are those of a healthy worker at full speed. */
export interface RunTimes {
  /** Model by which the times are estimated. */
  readonly kind: 'averages' | 'distributions';
  /** Returns the expected run time of a task of the step. */
  expectedMs(step: Step): Millis;
  /** Returns the expected run time of the longest task of the step. */
  longestMs(step: Step): Millis;
  /** Returns how much longer a run is expected to take, at least 0. */
  remainingMs(run: Run, now: Instant): Millis;
  /** Returns the expected run time of a copy of a run that starts now, given how long the run has lasted. */
  copyMs(run: Run, now: Instant): Millis;
  /** Records a run that completed after `runTimeMs` without having resumed from a checkpoint. */
  recordRun(step: Step, runTimeMs: Millis): void;
}

/** Run times by averages of queue and image. */
export interface AverageRunTimes extends RunTimes {
  readonly kind: 'averages';
  /** Returns the learned averages, from which another instance can start. */
  learnedAverages(): LearnedEstimates['runTimes'];
}

/** Creates run times that start from the averages of an earlier instance. */
export function createRunTimes(
  learned: LearnedEstimates['runTimes'] = [],
): AverageRunTimes {
  const averages = new Map<string, Millis>(learned);
  const expectedMs = (step: Step): Millis => {
    const average = averages.get(runTimeKeyOf(step));
    const estimate = step.spec.estimateMs;
    return average === undefined
      ? estimate
      : estimate * CALLER_ESTIMATE_WEIGHT +
          average * (1 - CALLER_ESTIMATE_WEIGHT);
  };

  return {
    kind: 'averages',
    expectedMs,
    longestMs: expectedMs,
    remainingMs: (run, now) => {
      const expected = expectedMs(run.task.step);
      return (
        remainingByPercent(run, expected, now) ??
        Math.max(0, expected - elapsedMs(run, now))
      );
    },
    copyMs: run => expectedMs(run.task.step),
    recordRun: (step, runTimeMs) => {
      const key = runTimeKeyOf(step);
      const average = averages.get(key);
      averages.set(
        key,
        average === undefined
          ? runTimeMs
          : average * (1 - NEW_RUN_WEIGHT) + runTimeMs * NEW_RUN_WEIGHT,
      );
    },
    learnedAverages: () =>
      [...averages]
        .slice(-MAX_LEARNED_ENTRIES)
        .map(([key, average]) => [key, Math.round(average)]),
  };
}

/** Returns the key under which the run times of a step are learned: its queue and image. */
export function runTimeKeyOf({ occurrence, spec }: Step): string {
  return `${occurrence.job.spec.terms.queue}/${spec.image ?? ''}`;
}

/** Returns how long a run has lasted, without the time lost to speed limits. */
export function elapsedMs({ progress, openedAt }: Run, now: Instant): Millis {
  return progress === undefined
    ? Math.max(0, now - openedAt)
    : fullSpeedMs(progress, now);
}

/**
 * Returns how much longer a run takes by the share that it has completed, or undefined if it has reported
 * less than `minPercent`. The pace of a resumed run is not known, since it starts at the share of its
 * checkpoint, nor that of a run that this leader has hardly seen.
 */
export function remainingByPercent(
  { task, progress }: Run,
  expectedMs: Millis,
  now: Instant,
  minPercent = 1,
): Millis | undefined {
  if (progress === undefined || progress.percent < minPercent) {
    return undefined;
  }
  const { percent, initialPercent, seenAt } = progress;
  const seenPercent = percent - initialPercent;
  if (task.checkpoint !== '' || seenPercent < minPercent) {
    return expectedMs * (1 - percent / 100);
  }
  const seenMs = fullSpeedMs(progress, seenAt);
  const restMs = (seenMs * (100 - percent)) / seenPercent;
  return Math.max(0, restMs - (fullSpeedMs(progress, now) - seenMs));
}
