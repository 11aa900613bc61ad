/** Simulated deployment that receives more work of one queue than it has capacity for. */
import type { Instant, Millis } from '../core/time.js';
import { seededRandom, type Random } from '../index.js';
import { applyInbox } from './fold.js';
import { isFinished, type Run } from './job.js';
import { emptyJobsState } from './jobs-state.js';
import { objectiveMsOf } from './objective.js';
import { planStarts } from './plan.js';
import { createRunTimes, type RunTimes } from './run-times.js';
import { DEFAULT_STEP, type JobSpec } from './spec.js';
import {
  applyDecision,
  endRun,
  planInput,
  TERMS,
  testJob,
  testWorker,
} from './test-support.js';
import { expectedWorkOf } from './job-value.js';

const MILLI = 1_000;
const ROUND_MS: Millis = 100;
/** Cores of a test worker. */
const CORES = 4;
const MEAN_RUN_MS: Millis = 2_000;
const MEAN_TASKS = 8;
const MEAN_STEPS = 2;
/** Standard deviation of the logarithm of task counts and run times. */
const LOG_SIGMA = 0.6;
const MAX_TASKS = 40;
/** Fraction of runs that fail. */
const FAILURE_RATE = 0.05;
/** A late result keeps some value up to this many times the objective. */
const LATE_FACTOR = 3;
/** Value of a late result relative to one in time. */
const LATE_VALUE = 0.15;

/** A period of overload; `load` is the submitted work relative to the capacity. */
export interface LoadScenario {
  readonly seed: number;
  readonly load: number;
  /** Period of the overload; outside it the load is normal. */
  readonly from: Instant;
  readonly until: Instant;
  readonly end: Instant;
  readonly workers: number;
  /** Whether jobs submitted after the overload count, although they may be unfinished at the end. */
  readonly countAllJobs: boolean;
  /** Cores per task of each kind of job; all kinds are equally frequent. */
  readonly taskCores?: readonly number[];
  /** Run times that plan and learn; by default averages that learn nothing, so that estimates are true. */
  readonly times?: RunTimes;
}

/** Result of a job. */
export interface Outcome {
  readonly work: number;
  readonly taskCores: number;
  readonly kind: 'in_time' | 'late' | 'unserved';
}

/** Fractions served: of the value of all jobs, and of the number of jobs by group. */
export interface ServedShares {
  readonly value: number;
  readonly inTime: number;
  readonly all: number;
  readonly largestTenth: number;
  readonly nextLargestFifth: number;
}

interface OpenRun {
  readonly run: Run;
  readonly tookMs: Millis;
  readonly endsAt: Instant;
  readonly fails: boolean;
}

/** Load at which there is capacity for all jobs. */
const NORMAL_LOAD = 0.7;

/** Simulates a load; returns the results of the jobs that count. */
export function simulateLoad(load: LoadScenario): Outcome[] {
  const deployment = new SimulatedDeployment(load);
  for (let now = 0; now < load.end; now += ROUND_MS) {
    deployment.runRound(now);
  }
  return deployment.outcomes();
}

class SimulatedDeployment {
  private readonly random: Random;
  private readonly input;
  /** Run times by callers' estimates, from which the true ones are drawn. */
  private readonly trueTimes = createRunTimes();
  private readonly openRuns = new Set<OpenRun>();
  private readonly submittedAt = new Map<string, Instant>();
  private readonly finishedAt = new Map<string, Instant>();
  /** Jobs due but not submitted yet, including a fraction. */
  private dueJobs = 0;

  constructor(private readonly scenario: LoadScenario) {
    this.random = seededRandom(scenario.seed);
    const workers = Array.from({ length: scenario.workers }, (_, at) => {
      const worker = testWorker(`w${at}`);
      const capacity = { ...worker.info.capacity, memoryMiB: 1_000_000 };
      return { ...worker, info: { ...worker.info, capacity } };
    });
    const times = scenario.times ?? this.trueTimes;
    this.input = { ...planInput(emptyJobsState(), workers), times };
  }

  runRound(now: Instant): void {
    this.endRuns(now);
    this.submitJobs(now);
    const time = { now, nowWall: now };
    const { state } = this.input;
    planStarts({ ...this.input, time }, decision => {
      const run = applyDecision(state, decision);
      const tookMs =
        this.trueTimes.expectedMs(decision.task.step) * this.drawFactor(0.3);
      const fails = this.random() < FAILURE_RATE;
      this.openRuns.add({ run, tookMs, endsAt: now + tookMs, fails });
    });
  }

  outcomes(): Outcome[] {
    const { state } = this.input;
    const times = this.trueTimes;
    return [...state.jobs.values()].flatMap(job => {
      const { id } = job.spec;
      const submittedAt = this.submittedAt.get(id) ?? Infinity;
      const [occurrence] = job.occurrences.values();
      if (
        occurrence === undefined ||
        (!this.scenario.countAllJobs && submittedAt >= this.scenario.until)
      ) {
        return [];
      }
      const tookMs = (this.finishedAt.get(id) ?? Infinity) - submittedAt;
      const ratio = tookMs / objectiveMsOf(occurrence, times);
      const kind =
        ratio <= 1 ? 'in_time' : ratio <= LATE_FACTOR ? 'late' : 'unserved';
      const taskCores = coresOf(job.spec);
      return [
        { work: expectedWorkOf(occurrence, times), taskCores, kind } as const,
      ];
    });
  }

  private get taskCores(): readonly number[] {
    return this.scenario.taskCores ?? [1];
  }

  private endRuns(now: Instant): void {
    for (const each of this.openRuns) {
      if (each.endsAt <= now) {
        this.openRuns.delete(each);
        const { run, tookMs, fails } = each;
        const { job } = run.task.step.occurrence;
        if (!fails) {
          this.scenario.times?.recordRun(run.task.step, tookMs);
        }
        endRun(this.input.state, run, fails ? 'failed' : 'done');
        if (isFinished(job)) {
          this.finishedAt.set(job.spec.id, now);
        }
      }
    }
  }

  private submitJobs(now: Instant): void {
    const { load, from, until, workers } = this.scenario;
    const currentLoad = now >= from && now < until ? load : NORMAL_LOAD;
    const kinds = this.taskCores;
    const meanCores = kinds.reduce((sum, cores) => sum + cores) / kinds.length;
    const perRound =
      (currentLoad * workers * CORES * ROUND_MS) /
      (MEAN_RUN_MS * MEAN_TASKS * MEAN_STEPS * meanCores);
    for (this.dueJobs += perRound; this.dueJobs >= 1; this.dueJobs -= 1) {
      const job = this.drawJob(`j${this.submittedAt.size}`);
      this.submittedAt.set(job.id, now);
      applyInbox(this.input.state, { kind: 'submit', job, atWall: now });
    }
  }

  private drawJob(id: string): JobSpec {
    const count = 1 + Math.floor(this.random() * (2 * MEAN_STEPS - 1));
    const kinds = this.taskCores;
    const cores = kinds[this.submittedAt.size % kinds.length] ?? 1;
    const size = { ...DEFAULT_STEP.size, cpuMilli: cores * MILLI };
    const steps = Array.from({ length: count }, (_, at) => ({
      tasks: this.drawTasks(),
      size,
      estimateMs: MEAN_RUN_MS * this.drawFactor(LOG_SIGMA),
      after: at === 0 ? [] : [at - 1],
    }));
    return testJob(id, steps, { ...TERMS, maxAttempts: 10 });
  }

  private drawTasks(): number {
    const drawn = Math.round(MEAN_TASKS * this.drawFactor(LOG_SIGMA));
    return Math.max(1, Math.min(MAX_TASKS, drawn));
  }

  /** Draws a log-normal factor with a mean of 1. */
  private drawFactor(sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    const normal = radius * Math.cos(2 * Math.PI * this.random());
    return Math.exp(sigma * normal - sigma ** 2 / 2);
  }
}

function coresOf({ steps: [first] }: JobSpec): number {
  return (first?.size.cpuMilli ?? 0) / MILLI;
}

/** Fraction of a job's value that does not grow with its work, and its highest value, in mean jobs. */
const FIXED_VALUE_FRACTION = 0.3;
const MAX_VALUE = 4;

/** Returns the fractions that callers were served. */
export function servedSharesOf(outcomes: readonly Outcome[]): ServedShares {
  const sorted = [...outcomes].sort((a, b) => b.work - a.work);
  const at = (share: number): number => Math.round(share * sorted.length);
  const mean = sorted.reduce((sum, { work }) => sum + work, 0) / sorted.length;
  const valueOf = ({ work }: Outcome): number =>
    Math.min(
      MAX_VALUE,
      FIXED_VALUE_FRACTION + (1 - FIXED_VALUE_FRACTION) * (work / mean),
    );
  const servedValueOf = (outcome: Outcome): number =>
    valueOf(outcome) * valueFractionOf(outcome);
  const sumOf = (of: (outcome: Outcome) => number): number =>
    sorted.reduce((sum, outcome) => sum + of(outcome), 0);
  return {
    value: sumOf(servedValueOf) / sumOf(valueOf),
    inTime: sumOf(({ kind }) => Number(kind === 'in_time')) / sorted.length,
    all: servedShareOf(sorted),
    largestTenth: servedShareOf(sorted.slice(0, at(0.1))),
    nextLargestFifth: servedShareOf(sorted.slice(at(0.1), at(0.3))),
  };
}

function valueFractionOf({ kind }: Outcome): number {
  switch (kind) {
    case 'in_time':
      return 1;
    case 'late':
      return LATE_VALUE;
    case 'unserved':
      return 0;
  }
}

/** Returns the fraction of jobs that were served. */
export function servedShareOf(outcomes: readonly Outcome[]): number {
  const served = outcomes.filter(({ kind }) => kind !== 'unserved');
  return served.length / Math.max(1, outcomes.length);
}
