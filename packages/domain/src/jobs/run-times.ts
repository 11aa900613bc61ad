/** Run times learnt by queue and image; callers' own guesses are rough. */
import type { Millis } from '../core/time.js';
import type { Step } from './job.js';
import {
  MAX_LEARNED_ENTRIES,
  type LearnedEstimates,
} from './learned-estimates.js';

/** Weight of a new run time in the average; about ten runs replace what was learnt. */
const NEW_WEIGHT = 0.1;

/** Share of a guess that is used before anything was learnt is all of it; after that, this much. */
const GUESS_SHARE = 0.25;

/** Learns how long tasks run. */
export interface RunTimes {
  /** Expected run time of a task of the step on a sound worker. */
  expectedMs(step: Step): Millis;
  /** Takes in a run that was done after `took` without having resumed from a checkpoint. */
  learn(step: Step, took: Millis): void;
  /** Returns what was learnt, for another one to begin with. */
  learnt(): LearnedEstimates['runTimes'];
}

/** Creates a learner that knows what an earlier one has learnt. */
export function createRunTimes(
  learnt: LearnedEstimates['runTimes'] = [],
): RunTimes {
  const averages = new Map<string, Millis>(learnt);

  return {
    expectedMs: step => {
      const average = averages.get(keyOf(step));
      const guess = step.spec.estimateMs;
      return average === undefined
        ? guess
        : guess * GUESS_SHARE + average * (1 - GUESS_SHARE);
    },
    learn: (step, took) => {
      const key = keyOf(step);
      const average = averages.get(key);
      averages.set(
        key,
        average === undefined
          ? took
          : average * (1 - NEW_WEIGHT) + took * NEW_WEIGHT,
      );
    },
    learnt: () =>
      [...averages]
        .slice(-MAX_LEARNED_ENTRIES)
        .map(([key, average]) => [key, Math.round(average)]),
  };
}

function keyOf({ occurrence, spec }: Step): string {
  return `${occurrence.job.spec.terms.queue}/${spec.image ?? ''}`;
}
