/** What the runs of one step say about the mean of the logarithm of its run time. */
import type { Estimate } from './estimate.js';
import { hazard, logSurvival } from './log-normal.js';

/** Iterations of Newton's method: the likelihood is log-concave, and three already agree to a thousandth. */
const NEWTON_ITERATIONS = 5;

/** Completed and open runs of a step, as logarithms of times in milliseconds. */
export interface StepSample {
  completed: number;
  sum: number;
  sumOfSquares: number;
  /** Longest completed run. */
  longest: number;
  /** How long the open runs have lasted at least; without them the first completions would seem typical. */
  open: readonly number[];
  /** Number of open runs that each entry stands for. */
  openWeight: number;
}

/** An estimate of a step's mean, and how well its prior explains the sample. */
export interface StepEstimate extends Estimate {
  /** Logarithm of the evidence, up to a constant that is equal for all priors. */
  readonly logEvidence: number;
}

/** Returns a sample without runs. */
export function emptySample(): StepSample {
  return {
    completed: 0,
    sum: 0,
    sumOfSquares: 0,
    longest: -Infinity,
    open: [],
    openWeight: 1,
  };
}

/** Adds a completed run of `runTimeMs` to a sample. */
export function addCompleted(sample: StepSample, runTimeMs: number): void {
  const value = Math.log(Math.max(1, runTimeMs));
  sample.completed += 1;
  sample.sum += value;
  sample.sumOfSquares += value ** 2;
  sample.longest = Math.max(sample.longest, value);
}

/** Returns the variance among the completed runs; undefined for fewer than `minimum`. */
export function sampleVariance(
  { completed, sum, sumOfSquares }: StepSample,
  minimum: number,
): number | undefined {
  return completed < minimum
    ? undefined
    : Math.max(0, sumOfSquares - sum ** 2 / completed) / (completed - 1);
}

/** Corrects a prior estimate of the step's mean by its runs, which vary by `variation`. */
export function estimateStep(
  prior: Estimate,
  sample: StepSample,
  variation: number,
): StepEstimate {
  const { completed, sum, open, openWeight } = sample;
  const deviation = Math.sqrt(variation);
  let precision = 1 / prior.variance + completed / variation;
  let mean = (prior.mean / prior.variance + sum / variation) / precision;
  for (let at = 0; open.length > 0 && at < NEWTON_ITERATIONS; at += 1) {
    let slope =
      (prior.mean - mean) / prior.variance +
      (sum - completed * mean) / variation;
    precision = 1 / prior.variance + completed / variation;
    for (const minimum of open) {
      const z = (minimum - mean) / deviation;
      const rate = hazard(z);
      slope += (openWeight * rate) / deviation;
      precision += (openWeight * rate * (rate - z)) / variation;
    }
    mean += slope / precision;
  }
  const variance = 1 / precision;
  return {
    mean,
    variance,
    logEvidence: logEvidenceOf(prior, sample, variation, { mean, variance }),
  };
}

/** Laplace's approximation: prior and likelihood at the mode, times the width of the posterior. */
function logEvidenceOf(
  prior: Estimate,
  { completed, sum, sumOfSquares, open, openWeight }: StepSample,
  variation: number,
  { mean, variance }: Estimate,
): number {
  const squares = sumOfSquares - 2 * mean * sum + completed * mean ** 2;
  const deviation = Math.sqrt(variation);
  let log = Math.log(variance / prior.variance) / 2;
  log -= (mean - prior.mean) ** 2 / (2 * prior.variance);
  log -= squares / (2 * variation);
  for (const minimum of open) {
    log += openWeight * logSurvival((minimum - mean) / deviation);
  }
  return log;
}
