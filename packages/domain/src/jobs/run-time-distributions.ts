/**
 * Run times by log-normal distributions: what callers' estimates and the means of queue and image are worth,
 * how much the tasks of a step vary, and how many steps take several times as long. Completed runs of a step
 * correct the estimates for the rest of its tasks.
 */
import type { Instant, Millis } from '../core/time.js';
import type { Estimate } from './estimate.js';
import type { Run, Step } from './job.js';
import type { LearnedEstimates } from './learned-estimates.js';
import {
  expectedRest,
  hazard,
  largestDeviation,
  logDensity,
  logSurvival,
} from './log-normal.js';
import { QueueModels, type QueueModel } from './queue-models.js';
import { elapsedMs, remainingByPercent, type RunTimes } from './run-times.js';
import {
  addCompleted,
  emptySample,
  estimateStep,
  sampleVariance,
  type StepSample,
} from './step-sample.js';

/** Fewest completed runs by which the variation within a step is measured. */
const MIN_VARIATION_RUNS = 3;
/** Share of its tasks that a step must have completed to be learned from: its first completions are not typical. */
const MIN_LEARNED_SHARE = 0.5;
/** An open run that exceeds the step's completed ones by more is taken to be slow alone. */
const MAX_SAMPLE_DEVIATIONS = 4;
/**
 * Most open runs that a forecast considers: with more, each end of a run in a step of thousands of tasks would
 * take milliseconds.
 */
const MAX_OPEN_RUNS = 100;
/** Percentages are whole numbers; below this one the pace is more than a tenth off. */
const MIN_PACE_PERCENT = 5;
/**
 * Share of runs that are slow alone, as on a failing worker, and the distribution of how slow: by a factor of
 * 7 with a deviation of half an order of magnitude. It is wide, so that what has lasted for long is expected
 * to last longer.
 */
const SLOW_RUN_SHARE = 0.002;
const SLOW_RUN_FACTOR = Math.log(7);
const SLOW_RUN_VARIANCE = 1.3;

/** Run times by distributions. */
export interface RunTimeDistributions extends RunTimes {
  readonly kind: 'distributions';
  /** Records a run; with its `end`, the runs of the step that are still open count as well. */
  recordRun(step: Step, runTimeMs: Millis, end?: RunEndPoint): void;
  /** Learns from a step whose last task is done; nothing if that has been done. */
  closeStep(step: Step): void;
  /** Returns the learned distributions, from which another instance can start. */
  learnedDistributions(): NonNullable<LearnedEstimates['distributions']>;
}

/** A run that has ended, and when. */
export interface RunEndPoint {
  readonly run: Run;
  readonly now: Instant;
}

/** What is known of one step. */
interface StepState {
  readonly sample: StepSample;
  /** Whether the models have learned from the step. */
  isClosed: boolean;
  /** The end that the sample was last added; other runs are looked at when a forecast is needed. */
  lastEnd: RunEndPoint | undefined;
  /** StepForecast by the sample and the models; undefined once the sample has changed. */
  forecast: StepForecast | undefined;
  /** Version of the queue's model that the forecast is based on. */
  version: number;
}

/** Run times of a step's tasks, by what is known of it. */
interface StepForecast {
  /** Probability that the step belongs to the tail. */
  readonly tailProbability: number;
  readonly expectedMs: Millis;
  readonly longestMs: Millis;
  /** Variance among the step's tasks. */
  readonly variation: number;
  readonly outcomes: readonly Outcome[];
}

/** A way in which a run may turn out: the logarithm of its time in that case. */
interface Outcome extends Estimate {
  readonly share: number;
  /** Estimate of the step's mean in that case. */
  readonly step: Estimate;
  /** Whether only this run is slow, so that its time tells nothing of the step. */
  readonly isSlowAlone: boolean;
}

/** Creates run times that start from what an earlier instance learned, or from its averages. */
export function createRunTimeDistributions(
  learned?: Pick<LearnedEstimates, 'distributions' | 'runTimes'>,
): RunTimeDistributions {
  const models = new QueueModels(learned);
  const states = new WeakMap<Step, StepState>();

  const stateOf = (step: Step): StepState => {
    const known = states.get(step);
    if (known !== undefined) {
      return known;
    }
    const state: StepState = {
      sample: emptySample(),
      isClosed: false,
      lastEnd: undefined,
      forecast: undefined,
      version: -1,
    };
    states.set(step, state);
    return state;
  };
  const forecastOf = (step: Step): StepForecast => {
    const state = stateOf(step);
    const model = models.modelOf(step);
    // A step with completed runs keeps its forecast until the next one: it hardly depends on the models.
    const isCurrent =
      state.version === model.version || state.sample.completed > 0;
    if (state.forecast === undefined || !isCurrent) {
      updateOpenRuns(state, model.variation);
      const prior = models.priorOf(step);
      state.forecast = forecastStep(
        state.sample,
        prior,
        model,
        step.spec.tasks,
      );
      state.version = model.version;
    }
    return state.forecast;
  };
  const closeStep = (step: Step): void => {
    const state = stateOf(step);
    const { sample } = state;
    const minimum = MIN_LEARNED_SHARE * step.spec.tasks;
    if (state.isClosed || sample.completed < Math.max(1, minimum)) {
      return;
    }
    state.isClosed = true;
    models.learn(step, {
      mean: sample.sum / sample.completed,
      runs: sample.completed,
      variation: sampleVariance(sample, MIN_VARIATION_RUNS),
      isTail: forecastOf(step).tailProbability > 1 / 2,
    });
  };

  return {
    kind: 'distributions',
    expectedMs: step => forecastOf(step).expectedMs,
    longestMs: step => forecastOf(step).longestMs,
    remainingMs: (run, now) => {
      const known = forecastOf(run.task.step);
      return (
        remainingByPercent(run, known.expectedMs, now, MIN_PACE_PERCENT) ??
        remainingByAge(known, Math.max(1, elapsedMs(run, now)))
      );
    },
    copyMs: (run, now) => copyMs(forecastOf(run.task.step), run, now),
    recordRun: (step, runTimeMs, end) => {
      const state = stateOf(step);
      addCompleted(state.sample, runTimeMs);
      state.lastEnd = end;
      state.forecast = undefined;
      if (state.sample.completed === step.spec.tasks) {
        closeStep(step);
      }
    },
    closeStep,
    learnedDistributions: () => models.learned(),
  };
}

/** Updates the open runs of a step's sample if a run was added since its last forecast. */
function updateOpenRuns(
  { forecast, lastEnd, sample }: StepState,
  variation: number,
): void {
  if (forecast === undefined) {
    Object.assign(sample, openRunsOf(lastEnd, sample, variation));
  }
}

/**
 * Returns the logarithms of the times for which the other runs of a step have lasted, without those that are
 * slow alone; of many runs, every n-th stands for n.
 */
function openRunsOf(
  end: RunEndPoint | undefined,
  { completed, sum }: StepSample,
  variation: number,
): Pick<StepSample, 'open' | 'openWeight'> {
  if (end === undefined) {
    return { open: [], openWeight: 1 };
  }
  const { run, now } = end;
  const highest =
    sum / completed + MAX_SAMPLE_DEVIATIONS * Math.sqrt(variation);
  const others = run.task.step.tasks
    .filter(task => task !== run.task && task.status === 'running')
    .flatMap(({ runs }) => runs.slice(0, 1))
    .filter(({ progress }) => progress?.confirmed === true);
  const openWeight = Math.max(1, Math.ceil(others.length / MAX_OPEN_RUNS));
  const open = others
    .filter((_, at) => at % openWeight === 0)
    .map(other => Math.log(Math.max(1, elapsedMs(other, now))))
    .filter(elapsed => elapsed < highest);
  return { open, openWeight };
}

function forecastStep(
  sample: StepSample,
  prior: Estimate,
  { variation, tailShare, tailFactor, tailVariance }: Readonly<QueueModel>,
  tasks: number,
): StepForecast {
  const tailPrior = {
    mean: prior.mean + tailFactor,
    variance: prior.variance + tailVariance,
  };
  const usual = estimateStep(prior, sample, variation);
  const tail = estimateStep(tailPrior, sample, variation);
  const odds =
    (tailShare / (1 - tailShare)) *
    Math.exp(tail.logEvidence - usual.logEvidence);
  const share = odds === Infinity ? 1 : odds / (1 + odds);
  // The likelier case, not the mean of both: a mean would be wrong for nearly every step.
  const { mean } = share > 1 / 2 ? tail : usual;
  const longest = mean + Math.sqrt(variation) * largestDeviation(tasks);
  return {
    tailProbability: share,
    expectedMs: meanMs(mean, variation),
    longestMs: Math.max(
      meanMs(mean, variation),
      Math.exp(Math.max(longest, sample.longest)),
    ),
    variation,
    outcomes: outcomesOf(usual, tail, share, variation),
  };
}

/** Returns the mean of a quantity whose logarithm has the given mean and variance. */
function meanMs(mean: number, variance: number): Millis {
  return Math.exp(mean + variance / 2);
}

function outcomesOf(
  usual: Estimate,
  tail: Estimate,
  tailShare: number,
  variation: number,
): Outcome[] {
  return [
    {
      share: (1 - tailShare) * (1 - SLOW_RUN_SHARE),
      mean: usual.mean,
      variance: usual.variance + variation,
      step: usual,
      isSlowAlone: false,
    },
    {
      share: tailShare,
      mean: tail.mean,
      variance: tail.variance + variation,
      step: tail,
      isSlowAlone: false,
    },
    {
      share: (1 - tailShare) * SLOW_RUN_SHARE,
      mean: usual.mean + SLOW_RUN_FACTOR,
      variance: usual.variance + SLOW_RUN_VARIANCE,
      step: usual,
      isSlowAlone: true,
    },
  ];
}

/**
 * Returns how much longer a run takes that reports no progress: the mean over its outcomes. A run that has just
 * started takes the expected time, which is that of the likelier case: if the rare cases counted at once, a
 * new run of the same task would always seem to end earlier.
 */
function remainingByAge(known: StepForecast, elapsed: Millis): Millis {
  const { outcomes, expectedMs } = known;
  const current = mix(
    outcomes,
    outcome => logSurvival(deviationOf(outcome, elapsed)),
    ({ mean, variance }) => expectedRest(elapsed, mean, variance),
  );
  const initialMs = outcomes.reduce(
    (sum, { share, mean, variance }) => sum + share * meanMs(mean, variance),
    0,
  );
  const initialRatio = expectedMs / initialMs;
  return current.mean * (1 - (1 - initialRatio) * current.likelihood);
}

/**
 * Returns the run time of a copy, given how long the run takes: as long if the whole step is likely to be slow,
 * and the usual time if only this run is.
 */
function copyMs(known: StepForecast, run: Run, now: Instant): Millis {
  const { expectedMs, outcomes, variation } = known;
  const elapsed = Math.max(1, elapsedMs(run, now));
  const rest = remainingByPercent(run, expectedMs, now, MIN_PACE_PERCENT);
  const total = rest === undefined ? undefined : elapsed + rest;
  return mix(
    outcomes,
    outcome =>
      total === undefined
        ? logSurvival(deviationOf(outcome, elapsed))
        : logDensity(deviationOf(outcome, total)) -
          Math.log(outcome.variance) / 2,
    outcome => {
      const z = deviationOf(outcome, total ?? elapsed);
      const shift = total === undefined ? hazard(z) : z;
      const { step, variance, isSlowAlone } = outcome;
      const weight = isSlowAlone ? 0 : step.variance / Math.sqrt(variance);
      return meanMs(step.mean + weight * shift, variation);
    },
  ).mean;
}

function deviationOf({ mean, variance }: Outcome, elapsed: Millis): number {
  return (Math.log(elapsed) - mean) / Math.sqrt(variance);
}

/** Mean over all outcomes, and the probability of what is known of the run. */
interface Mixture {
  readonly mean: number;
  readonly likelihood: number;
}

/** Returns the mean of a value over all outcomes, by how likely each of them is. */
function mix(
  outcomes: readonly Outcome[],
  logLikelihood: (outcome: Outcome) => number,
  valueOf: (outcome: Outcome) => number,
): Mixture {
  const possible = outcomes.filter(({ share }) => share > 0);
  const logs = possible.map(
    outcome => Math.log(outcome.share) + logLikelihood(outcome),
  );
  const highest = Math.max(...logs);
  let sum = 0;
  let weights = 0;
  possible.forEach((outcome, at) => {
    const weight = Math.exp((logs[at] ?? 0) - highest);
    sum += weight * valueOf(outcome);
    weights += weight;
  });
  return { mean: sum / weights, likelihood: weights * Math.exp(highest) };
}
