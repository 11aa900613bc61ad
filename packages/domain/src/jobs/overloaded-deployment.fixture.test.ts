/** A site of simulated workers to which more work of one queue comes than there is room for. */
import type { Instant, Millis } from '../core/time.js';
import { seededRandom, type Random } from '../index.js';
import { applyInbox } from './fold.js';
import { isFinished, type Run } from './job.js';
import { emptyJobsState } from './jobs-state.js';
import { objectiveOf } from './objective.js';
import { planStarts } from './plan.js';
import { PLAIN_STEP, type JobSpec } from './spec.js';
import {
  applyDecision,
  endRun,
  planInput,
  TERMS,
  testJob,
  testWorker,
} from './test-support.js';
import { expectedWorkOf } from './worth.js';

const MILLI = 1_000;
const ROUND_MS: Millis = 100;
/** Cores of a test worker. */
const CORES = 4;
const MEAN_RUN_MS: Millis = 2_000;
const MEAN_TASKS = 8;
const MEAN_STEPS = 2;
/** Spread of widths and run times (of the logarithm). */
const SPREAD = 0.6;
const MAX_TASKS = 40;
/** Share of runs that fail by their own fault. */
const FAILURES = 0.05;
/** A late end is worth something up to this many times the objective. */
const LATE_FACTOR = 3;
/** What a late end is worth beside one in time. */
const LATE_WORTH = 0.15;

/** More work than room over a while: `load` is what comes for each unit of room. */
export interface Load {
  readonly seed: number;
  readonly load: number;
  /** The load is that of a sound site but for this span. */
  readonly from: Instant;
  readonly until: Instant;
  readonly end: Instant;
  readonly workers: number;
  /** Whether jobs count that come once the load has ended, and may not be over at the end. */
  readonly countsAll: boolean;
  /** Cores of a task of each of these kinds of jobs, which come equally often. */
  readonly taskCores?: readonly number[];
}

/** What became of a job. */
export interface Outcome {
  readonly work: number;
  readonly taskCores: number;
  readonly kind: 'in_time' | 'late' | 'unserved';
}

/** What callers were served: shares of the jobs, and of what their work is worth to them. */
export interface Served {
  readonly worth: number;
  readonly inTime: number;
  readonly all: number;
  readonly largestTenth: number;
  readonly nextLargestFifth: number;
}

interface OpenRun {
  readonly run: Run;
  readonly endsAt: Instant;
  readonly fails: boolean;
}

/** Load of a site on which all jobs find room. */
const SOUND_LOAD = 0.7;

/** Plays a load; tells what became of the jobs that count. */
export function playLoad(load: Load): Outcome[] {
  const site = new Site(load);
  for (let now = 0; now < load.end; now += ROUND_MS) {
    site.round(now);
  }
  return site.outcomes();
}

class Site {
  private readonly random: Random;
  private readonly input;
  private readonly open = new Set<OpenRun>();
  private readonly cameAt = new Map<string, Instant>();
  private readonly overAt = new Map<string, Instant>();
  /** Jobs that have come by now, in whole and fractions. */
  private due = 0;

  constructor(private readonly played: Load) {
    this.random = seededRandom(played.seed);
    const workers = Array.from({ length: played.workers }, (_, at) => {
      const worker = testWorker(`w${at}`);
      const capacity = { ...worker.info.capacity, memoryMiB: 1_000_000 };
      return { ...worker, info: { ...worker.info, capacity } };
    });
    this.input = planInput(emptyJobsState(), workers);
  }

  round(now: Instant): void {
    this.endRuns(now);
    this.takeJobs(now);
    const time = { now, nowWall: now };
    const { state, times } = this.input;
    planStarts({ ...this.input, time }, decision => {
      const run = applyDecision(state, decision);
      const tookMs = times.expectedMs(decision.task.step) * this.spread(0.3);
      const fails = this.random() < FAILURES;
      this.open.add({ run, endsAt: now + tookMs, fails });
    });
  }

  outcomes(): Outcome[] {
    const { state, times } = this.input;
    return [...state.jobs.values()].flatMap(job => {
      const { id } = job.spec;
      const cameAt = this.cameAt.get(id) ?? Infinity;
      const [occurrence] = job.occurrences.values();
      if (
        occurrence === undefined ||
        (!this.played.countsAll && cameAt >= this.played.until)
      ) {
        return [];
      }
      const tookMs = (this.overAt.get(id) ?? Infinity) - cameAt;
      const share = tookMs / objectiveOf(occurrence, times);
      const kind =
        share <= 1 ? 'in_time' : share <= LATE_FACTOR ? 'late' : 'unserved';
      const taskCores = coresOf(job.spec);
      return [{ work: expectedWorkOf(occurrence, times), taskCores, kind } as const];
    });
  }

  private get taskCores(): readonly number[] {
    return this.played.taskCores ?? [1];
  }

  private endRuns(now: Instant): void {
    for (const each of this.open) {
      if (each.endsAt <= now) {
        this.open.delete(each);
        const { run, fails } = each;
        const { job } = run.task.step.occurrence;
        endRun(this.input.state, run, fails ? 'failed' : 'done');
        if (isFinished(job)) {
          this.overAt.set(job.spec.id, now);
        }
      }
    }
  }

  private takeJobs(now: Instant): void {
    const { load, from, until, workers } = this.played;
    const share = now >= from && now < until ? load : SOUND_LOAD;
    const kinds = this.taskCores;
    const meanCores = kinds.reduce((sum, cores) => sum + cores) / kinds.length;
    const perRound =
      (share * workers * CORES * ROUND_MS) /
      (MEAN_RUN_MS * MEAN_TASKS * MEAN_STEPS * meanCores);
    for (this.due += perRound; this.due >= 1; this.due -= 1) {
      const job = this.drawJob(`j${this.cameAt.size}`);
      this.cameAt.set(job.id, now);
      applyInbox(this.input.state, { kind: 'submit', job, atWall: now });
    }
  }

  private drawJob(id: string): JobSpec {
    const count = 1 + Math.floor(this.random() * (2 * MEAN_STEPS - 1));
    const kinds = this.taskCores;
    const cores = kinds[this.cameAt.size % kinds.length] ?? 1;
    const size = { ...PLAIN_STEP.size, cpuMilli: cores * MILLI };
    const steps = Array.from({ length: count }, (_, at) => ({
      tasks: this.drawTasks(),
      size,
      estimateMs: MEAN_RUN_MS * this.spread(SPREAD),
      after: at === 0 ? [] : [at - 1],
    }));
    return testJob(id, steps, { ...TERMS, maxAttempts: 10 });
  }

  private drawTasks(): number {
    const drawn = Math.round(MEAN_TASKS * this.spread(SPREAD));
    return Math.max(1, Math.min(MAX_TASKS, drawn));
  }

  /** Draws a factor with a mean of 1. */
  private spread(sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.random()));
    const normal = radius * Math.cos(2 * Math.PI * this.random());
    return Math.exp(sigma * normal - sigma ** 2 / 2);
  }
}

function coresOf({ steps: [first] }: JobSpec): number {
  return (first?.size.cpuMilli ?? 0) / MILLI;
}

/** Share of a job's worth that does not grow with its work, and the most it is worth, in mean jobs. */
const FIXED_WORTH = 0.3;
const MAX_WORTH = 4;

/** Sums what callers were served. */
export function servedOf(outcomes: readonly Outcome[]): Served {
  const sorted = [...outcomes].sort((a, b) => b.work - a.work);
  const at = (share: number): number => Math.round(share * sorted.length);
  const mean = sorted.reduce((sum, { work }) => sum + work, 0) / sorted.length;
  const worthOf = ({ work }: Outcome): number =>
    Math.min(MAX_WORTH, FIXED_WORTH + (1 - FIXED_WORTH) * (work / mean));
  const earned = (outcome: Outcome): number =>
    worthOf(outcome) * creditOf(outcome);
  const sumOf = (of: (outcome: Outcome) => number): number =>
    sorted.reduce((sum, outcome) => sum + of(outcome), 0);
  return {
    worth: sumOf(earned) / sumOf(worthOf),
    inTime: sumOf(({ kind }) => Number(kind === 'in_time')) / sorted.length,
    all: shareServed(sorted),
    largestTenth: shareServed(sorted.slice(0, at(0.1))),
    nextLargestFifth: shareServed(sorted.slice(at(0.1), at(0.3))),
  };
}

function creditOf({ kind }: Outcome): number {
  switch (kind) {
    case 'in_time':
      return 1;
    case 'late':
      return LATE_WORTH;
    case 'unserved':
      return 0;
  }
}

/** Share of jobs that were served. */
export function shareServed(outcomes: readonly Outcome[]): number {
  const served = outcomes.filter(({ kind }) => kind !== 'unserved');
  return served.length / Math.max(1, outcomes.length);
}
