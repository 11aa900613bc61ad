/** What is learned of each queue's run times, in logarithms of milliseconds. */
import { dropOldest } from './drop-oldest.js';
import type { Estimate } from './estimate.js';
import type { Step } from './job.js';
import {
  MAX_LEARNED_ENTRIES,
  MAX_LEARNED_QUEUES,
  roundEstimate,
  type LearnedDistributions,
  type LearnedEstimates,
  type QueueRow,
} from './learned-estimates.js';
import { runTimeKeyOf } from './run-times.js';

/** What is learned of one queue. */
export interface QueueModel {
  /** Number of steps that it was learned from. */
  steps: number;
  /** Mean of the logarithm of the ratio of run time to caller's estimate. */
  callerBias: number;
  /** Mean squared error of callers' estimates, without the bias. */
  callerError: number;
  /** Mean squared error of the means of queue and image. */
  meanError: number;
  /** Variance among the tasks of a step. */
  variation: number;
  /** Share of the steps that take several times as long. */
  tailShare: number;
  /** Mean of the logarithm of how many times as long. */
  tailFactor: number;
  readonly tailVariance: number;
  /** Changes whenever the model does. */
  version: number;
}

/** What the completed runs of a step have shown. */
export interface StepResult {
  readonly mean: number;
  readonly runs: number;
  /** Undefined for too few runs. */
  readonly variation: number | undefined;
  readonly isTail: boolean;
}

/**
 * Until a queue has been learned, callers' estimates weigh a quarter against the learned means, as in
 * `createRunTimes`, and only a step that takes several times the expected time is taken for one of the tail.
 */
const INITIAL_CALLER_ERROR = 0.45;
const INITIAL_MEAN_ERROR = 0.15;
const INITIAL_VARIATION = 0.04;
const INITIAL_TAIL_SHARE = 0.01;
const INITIAL_TAIL_FACTOR = Math.log(7);
const TAIL_VARIANCE = 0.1;
/**
 * Bounds of the share of the tail: a queue whose share fell to 0 would never take a step for one of the tail
 * again, and the record does not take a share that is rounded to 1.
 */
const MIN_TAIL_SHARE = 0.002;
const MAX_TAIL_SHARE = 0.99;
/** Less than three times as long is within what estimates are off by. */
const MIN_TAIL_FACTOR = Math.log(3);

/** Numbers of steps that the initial values stand for. */
const INITIAL_STEPS = 10;
const INITIAL_TAIL_STEPS = 100;
/** Numbers of steps after which what was learned before counts for little. */
const MEMORY_STEPS = 100;
const MEMORY_TAIL_STEPS = 500;
const MEMORY_MEAN_STEPS = 20;
/** Weight of one more step of the tail in the mean of their factors. */
const TAIL_FACTOR_WEIGHT = 0.1;
/** Steps that an average of an earlier leader stands for. */
const AVERAGE_STEPS = 10;

/** Variances don't fall below this: a tenth of the time is the precision at which ends are known. */
const MIN_VARIANCE = 0.01;
/** Largest squared error that one step counts for: slow workers would make a queue look erratic. */
const MAX_SQUARED_ERROR = 1;

const INITIAL_MODEL: Readonly<QueueModel> = {
  steps: 0,
  callerBias: 0,
  callerError: INITIAL_CALLER_ERROR,
  meanError: INITIAL_MEAN_ERROR,
  variation: INITIAL_VARIATION,
  tailShare: INITIAL_TAIL_SHARE,
  tailFactor: INITIAL_TAIL_FACTOR,
  tailVariance: TAIL_VARIANCE,
  version: 0,
};

interface KeyMean {
  readonly mean: number;
  readonly steps: number;
}

/** Models of all queues, and means of queue and image; the least recently learned ones are forgotten. */
export class QueueModels {
  private readonly models = new Map<string, QueueModel>();
  private readonly means = new Map<string, KeyMean>();

  /** Starts from what an earlier instance learned, or from its averages. */
  constructor(learned?: Pick<LearnedEstimates, 'distributions' | 'runTimes'>) {
    const { distributions, runTimes = [] } = learned ?? {};
    for (const [key, average] of runTimes) {
      const mean = Math.log(Math.max(1, average)) - INITIAL_VARIATION / 2;
      this.keepMean(key, { mean, steps: AVERAGE_STEPS });
    }
    for (const [key, mean, steps] of distributions?.means ?? []) {
      this.keepMean(key, { mean, steps });
    }
    for (const row of distributions?.queues ?? []) {
      keepNewest(this.models, row[0], modelOfRow(row), MAX_LEARNED_QUEUES);
    }
  }

  /** Returns the model of a step's queue; initial values if nothing has been learned of it. */
  modelOf(step: Step): Readonly<QueueModel> {
    return this.models.get(queueOf(step)) ?? INITIAL_MODEL;
  }

  /** Returns the estimate for a step of which no run is known: its predictions by their squared errors. */
  priorOf(step: Step): Estimate {
    const model = this.modelOf(step);
    const caller = callerMeanOf(step, model);
    const learned = this.means.get(runTimeKeyOf(step));
    if (learned === undefined) {
      return { mean: caller, variance: model.callerError };
    }
    const callerWeight = 1 / model.callerError;
    const learnedWeight = 1 / model.meanError;
    const variance = 1 / (callerWeight + learnedWeight);
    const mean =
      variance * (callerWeight * caller + learnedWeight * learned.mean);
    return { mean, variance };
  }

  /** Learns from the runs of a step. */
  learn(step: Step, result: StepResult): void {
    const { mean: priorMean } = this.priorOf(step);
    const queue = queueOf(step);
    const model = this.models.get(queue) ?? { ...INITIAL_MODEL };
    keepNewest(this.models, queue, model, MAX_LEARNED_QUEUES);
    model.version += 1;
    learnTail(model, result, result.mean - priorMean);
    if (result.variation !== undefined) {
      const weight = weightOf(model.steps, INITIAL_STEPS, MEMORY_STEPS);
      model.variation = nextVariance(model.variation, result.variation, weight);
    }
    if (!result.isTail) {
      this.learnErrors(step, model, result);
    }
    model.steps += 1;
  }

  /** Returns what is passed to the next leader. */
  learned(): LearnedDistributions {
    return {
      queues: [...this.models].map(rowOf),
      means: [...this.means].map(([key, { mean, steps }]) => [
        key,
        roundEstimate(mean),
        steps,
      ]),
    };
  }

  private learnErrors(step: Step, model: QueueModel, result: StepResult): void {
    const weight = weightOf(model.steps, INITIAL_STEPS, MEMORY_STEPS);
    const noise = model.variation / result.runs;
    const callerDeviation = result.mean - callerMeanOf(step, model);
    const callerError = callerDeviation ** 2 - noise;
    model.callerError = nextVariance(model.callerError, callerError, weight);
    model.callerBias += weight * callerDeviation;
    const key = runTimeKeyOf(step);
    const learned = this.means.get(key);
    const { mean, steps } = learned ?? { mean: result.mean, steps: 0 };
    if (learned !== undefined) {
      const error = (result.mean - mean) ** 2 - noise;
      model.meanError = nextVariance(model.meanError, error, weight);
    }
    const next = approach(
      mean,
      result.mean,
      weightOf(steps, 1, MEMORY_MEAN_STEPS),
    );
    const known = Math.min(steps + 1, MEMORY_MEAN_STEPS);
    this.keepMean(key, { mean: next, steps: known });
  }

  private keepMean(key: string, mean: KeyMean): void {
    keepNewest(this.means, key, mean, MAX_LEARNED_ENTRIES);
  }
}

/** Returns the mean that the caller's estimate, which is that of a mean run, predicts. */
function callerMeanOf({ spec }: Step, model: Readonly<QueueModel>): number {
  const estimate = Math.log(Math.max(1, spec.estimateMs));
  return estimate - model.variation / 2 + model.callerBias;
}

function learnTail(
  model: QueueModel,
  { isTail }: StepResult,
  factor: number,
): void {
  const weight = weightOf(model.steps, INITIAL_TAIL_STEPS, MEMORY_TAIL_STEPS);
  model.tailShare = boundTailShare(
    approach(model.tailShare, Number(isTail), weight),
  );
  if (isTail) {
    const next = approach(model.tailFactor, factor, TAIL_FACTOR_WEIGHT);
    model.tailFactor = Math.max(MIN_TAIL_FACTOR, next);
  }
}

function boundTailShare(share: number): number {
  return Math.min(MAX_TAIL_SHARE, Math.max(MIN_TAIL_SHARE, share));
}

/** Returns the weight of one more step after `steps`, with initial values that stand for `initial` steps. */
function weightOf(steps: number, initial: number, memory: number): number {
  return 1 / Math.min(memory, steps + initial);
}

function approach(value: number, target: number, weight: number): number {
  return value + weight * (target - value);
}

/** Moves a variance towards a squared error that was seen, within the bounds of both. */
function nextVariance(known: number, seen: number, weight: number): number {
  const bounded = Math.min(MAX_SQUARED_ERROR, Math.max(0, seen));
  return Math.max(MIN_VARIANCE, approach(known, bounded, weight));
}

function queueOf({ occurrence }: Step): string {
  return occurrence.job.spec.terms.queue;
}

function rowOf([queue, model]: readonly [string, QueueModel]): QueueRow {
  return [
    queue,
    model.steps,
    roundEstimate(model.callerBias),
    roundEstimate(model.callerError),
    roundEstimate(model.meanError),
    roundEstimate(model.variation),
    roundEstimate(model.tailShare),
    roundEstimate(model.tailFactor),
  ];
}

function modelOfRow(row: QueueRow): QueueModel {
  return {
    steps: row[1],
    callerBias: row[2],
    callerError: Math.max(MIN_VARIANCE, row[3]),
    meanError: Math.max(MIN_VARIANCE, row[4]),
    variation: Math.max(MIN_VARIANCE, row[5]),
    tailShare: boundTailShare(row[6]),
    tailFactor: Math.max(MIN_TAIL_FACTOR, row[7]),
    tailVariance: TAIL_VARIANCE,
    version: 0,
  };
}

/** Sets an entry as the newest one and drops the oldest beyond the maximum. */
function keepNewest<T>(
  entries: Map<string, T>,
  key: string,
  value: T,
  maximum: number,
): void {
  entries.delete(key);
  entries.set(key, value);
  dropOldest(entries, maximum);
}
