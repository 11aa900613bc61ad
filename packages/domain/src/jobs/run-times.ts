/** Run times learned by queue and image, since callers' own estimates are inaccurate. */
import type { Millis } from '../core/time.js';
import type { Step } from './job.js';
import {
  MAX_LEARNED_ENTRIES,
  type LearnedEstimates,
} from './learned-estimates.js';

/** Weight of a new run time in the average: about ten runs replace what was learned before. */
const NEW_RUN_WEIGHT = 0.1;

/** Weight of the caller's estimate against the learned average; without an average it is used alone. */
const CALLER_ESTIMATE_WEIGHT = 0.25;

/** Learns how long tasks run. */
export interface RunTimes {
  /** Returns the expected run time of a task of the step on a healthy worker. */
  expectedMs(step: Step): Millis;
  /** Records a run that completed after `runTimeMs` without having resumed from a checkpoint. */
  recordRun(step: Step, runTimeMs: Millis): void;
  /** Returns the learned averages, from which another instance can start. */
  learnedAverages(): LearnedEstimates['runTimes'];
}

/** Creates run times that start from the averages of an earlier instance. */
export function createRunTimes(
  learned: LearnedEstimates['runTimes'] = [],
): RunTimes {
  const averages = new Map<string, Millis>(learned);

  return {
    expectedMs: step => {
      const average = averages.get(keyOf(step));
      const estimate = step.spec.estimateMs;
      return average === undefined
        ? estimate
        : estimate * CALLER_ESTIMATE_WEIGHT +
            average * (1 - CALLER_ESTIMATE_WEIGHT);
    },
    recordRun: (step, runTimeMs) => {
      const key = keyOf(step);
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

function keyOf({ occurrence, spec }: Step): string {
  return `${occurrence.job.spec.terms.queue}/${spec.image ?? ''}`;
}
