/**
 * The leader's forecast of capacity: how much work has been accepted, and how fast it is completed while tasks
 * wait. Hosts refuse jobs by it that could not end before they lose their value.
 */
import type { Instant, Millis } from '../core/time.js';
import { isReady, type Job, type Step, type Task } from './job.js';
import { objectiveStatusOf } from './objective.js';
import type { PlanInput } from './plan.js';
import {
  MAX_CAPACITY_ROWS,
  capacityKindOf,
  type CapacityKind,
  type CapacityRow,
} from './capacity-rows.js';
import type { RunTimes } from './run-times.js';
import { losesByWaiting } from './spec.js';

/** What the forecast reads of a planning round. */
export type ForecastInput = Pick<PlanInput, 'state' | 'times' | 'time'>;

/** Time between two samples: the window has ten of them, and each reads all open jobs. */
const SAMPLE_INTERVAL_MS: Millis = 500;
/** Span over which completions are counted. */
const RATE_WINDOW_MS: Millis = 5_000;
/** Time for which tasks have to wait without a break before a rate is published. */
const MIN_WAITED_MS: Millis = 1_000;
/** Time without a planning round after which workers may have been idle: rounds wait for the log. */
const MAX_ROUND_GAP_MS: Millis = 1_000;
/** Standard errors by which the rate may be exceeded; one sample in forty exceeds it by more. */
const ERROR_WIDTH = 2;
/** Highest assumed ratio of a run's time to its time at full speed. */
const MAX_SLOWDOWN = 4;
const MS_PER_S = 1_000;
const PERCENT = 100;

/** Tasks of one service, kind of capacity and priority. */
interface WorkClass {
  readonly service: string;
  readonly kind: CapacityKind;
  readonly priority: number;
}

/** Work of the open jobs of a class, as of one sample. */
interface OpenWork extends WorkClass {
  /** Number of tasks that could start if there were capacity. */
  waiting: number;
  /** Core-milliseconds that its tasks still need. */
  backlog: number;
  /** Thousandths of a core of the running tasks. */
  runningMilli: number;
  /** Core-milliseconds of the running tasks from their start to their end. */
  runningWork: number;
}

/** Work of one task that was completed. */
interface Completion extends WorkClass {
  readonly step: Step;
  /** Core-milliseconds. */
  readonly work: number;
}

/** What was observed of a class between two samples. */
interface Interval {
  readonly ms: Millis;
  readonly completions: readonly Completion[];
  /** Whether tasks had waited for as long as a task runs, so that all runs began on full workers. */
  readonly isSettled: boolean;
  /** Thousandths of a core in use at its end. */
  readonly runningMilli: number;
}

/** What has been observed of a class since its tasks, or those of higher priorities, began to wait. */
interface Observation {
  readonly waitingSince: Instant;
  intervals: Interval[];
}

/** Observes rounds and completions of one leader. */
export class CapacityForecast {
  private readonly observations = new Map<string, Observation>();
  private openWork: readonly OpenWork[] = [];
  private completions: Completion[] = [];
  private sampledAt: Instant = -Infinity;
  private roundAt: Instant = -Infinity;
  /** Run times of the newest round, so that backlog and completions are in the same units. */
  private times: RunTimes | undefined;

  /** Notes that a task is about to be completed. */
  noteCompleted({ step, status }: Task): void {
    const { times } = this;
    const isCounted = status !== 'done' && times !== undefined;
    if (isCounted && losesByWaiting(step.occurrence.job.spec)) {
      const work = coresOf(step) * times.expectedMs(step);
      this.completions.push({ ...classOf(step), step, work });
    }
  }

  /** Notes a planning round, in which all tasks were started that have a place. */
  noteRound(input: ForecastInput): void {
    const { now } = input.time;
    if (now - this.roundAt > MAX_ROUND_GAP_MS) {
      this.noteBlocked();
    }
    this.roundAt = now;
    this.times = input.times;
    if (now - this.sampledAt >= SAMPLE_INTERVAL_MS) {
      this.sample(input, now);
    }
  }

  /**
   * Notes that nothing may start, since the log does not answer. Workers run idle meanwhile, so that what was
   * observed says nothing of their capacity, and neither do the completions until tasks wait again.
   */
  noteBlocked(): void {
    this.observations.clear();
    this.completions = [];
    this.sampledAt = -Infinity;
  }

  /** Returns the rows to publish: those of the longest waits where there are too many. */
  rows(now: Instant, hosts: number): CapacityRow[] {
    if (now - this.sampledAt > MAX_ROUND_GAP_MS) {
      return [];
    }
    const rows = this.openWork.flatMap(
      counted => this.rowOf(counted, now, Math.max(1, hosts)) ?? [],
    );
    return rows
      .filter(({ backlog, rate, errorPercent }) =>
        // Callers' estimates may be so large that sums overflow; an invalid row would make all rows invalid.
        Number.isFinite(backlog + rate + errorPercent),
      )
      .sort((a, b) => b.backlog / b.rate - a.backlog / a.rate)
      .slice(0, MAX_CAPACITY_ROWS);
  }

  private sample(input: ForecastInput, now: Instant): void {
    const ms = now - this.sampledAt;
    const { completions } = this;
    this.completions = [];
    this.sampledAt = now;
    this.openWork = countOpenWork(input);
    for (const counted of this.openWork) {
      this.sampleObservation(counted, { ms, completions }, now);
    }
    const known = new Set(this.openWork.map(keyOf));
    for (const key of this.observations.keys()) {
      if (!known.has(key)) {
        this.observations.delete(key);
      }
    }
  }

  private sampleObservation(
    counted: OpenWork,
    { ms, completions }: Pick<Interval, 'ms' | 'completions'>,
    now: Instant,
  ): void {
    const key = keyOf(counted);
    const observation = this.observations.get(key);
    if (sumOf(this.openWork, counted, ({ waiting }) => waiting) === 0) {
      this.observations.delete(key);
      return;
    }
    if (observation === undefined) {
      this.observations.set(key, { waitingSince: now, intervals: [] });
      return;
    }
    const included = completions.filter(other => precedes(other, counted));
    const runMs = this.runMsOf(counted, observation);
    const isSettled =
      runMs <= RATE_WINDOW_MS && now - observation.waitingSince - ms >= runMs;
    const runningMilli = this.runningMilliOf(counted);
    observation.intervals.push({
      ms,
      completions: included,
      isSettled,
      runningMilli,
    });
    while (totalMs(observation.intervals.slice(1)) >= RATE_WINDOW_MS) {
      observation.intervals.shift();
    }
  }

  /** Returns how long a task of this kind of capacity runs on average, with the slowdown that was observed. */
  private runMsOf(counted: OpenWork, { intervals }: Observation): Millis {
    const milli = this.runningMilliOf(counted);
    if (milli === 0) {
      return 0;
    }
    const work = sumOfKind(this.openWork, counted, each => each.runningWork);
    const rate = rateOf(intervals);
    const slowdown = rate === 0 ? MAX_SLOWDOWN : milli / rate;
    const factor = Math.min(MAX_SLOWDOWN, Math.max(1, slowdown));
    return (factor * MS_PER_S * work) / milli;
  }

  /** Returns the thousandths of a core in use, also by lower priorities, as these give way in time. */
  private runningMilliOf(counted: OpenWork): number {
    return sumOfKind(
      this.openWork,
      counted,
      ({ runningMilli }) => runningMilli,
    );
  }

  private rowOf(
    counted: OpenWork,
    now: Instant,
    hosts: number,
  ): CapacityRow | undefined {
    const observation = this.observations.get(keyOf(counted));
    if (
      observation === undefined ||
      now - observation.waitingSince < MIN_WAITED_MS
    ) {
      return undefined;
    }
    const settled = observation.intervals.filter(
      interval => interval.isSettled,
    );
    // Tasks that began together end together, so that less than one run's time may show too few of them.
    const enoughMs = Math.max(
      MIN_WAITED_MS,
      this.runMsOf(counted, observation),
    );
    const isSettled = totalMs(settled) >= enoughMs && rateOf(settled) > 0;
    const intervals = isSettled ? settled : observation.intervals;
    const rate = rateOf(intervals);
    // Rows of less than a thousandth of a core would be invalid once rounded.
    if (rate < 1) {
      return undefined;
    }
    const { service, kind, priority } = counted;
    return {
      service,
      kind,
      priority,
      backlog: sumOf(this.openWork, counted, each => each.backlog),
      rate,
      errorPercent: Math.ceil(
        PERCENT * this.rateErrorOf(counted, intervals, isSettled),
      ),
      hosts,
    };
  }

  /** Returns by which part of it the rate observed in `intervals` may be exceeded. */
  private rateErrorOf(
    counted: OpenWork,
    intervals: readonly Interval[],
    isSettled: boolean,
  ): number {
    const runningMilli = this.runningMilliOf(counted);
    const samplingError = ERROR_WIDTH * relativeErrorOf(intervals);
    if (!isSettled) {
      // Runs end that began while workers were not full, so that the processors in use are the bound.
      return Math.max(samplingError, runningMilli / rateOf(intervals) - 1);
    }
    // Tasks also wait for a leader that is busy, and more of them may run now than were observed.
    const growth = Math.max(1, runningMilli / meanRunningOf(intervals));
    return (1 + samplingError) * growth - 1;
  }
}

/** Counts the work of open jobs by class. */
function countOpenWork({ state, times, time }: ForecastInput): OpenWork[] {
  const found = new Map<string, OpenWork>();
  for (const job of state.openJobs) {
    if (!losesByWaiting(job.spec)) {
      continue;
    }
    for (const step of openStepsOf(job, { state, times, time })) {
      const workClass = classOf(step);
      const key = keyOf(workClass);
      const counted = found.get(key) ?? emptyOpenWork(workClass);
      found.set(key, counted);
      addStep(counted, step, times.expectedMs(step), time.now);
    }
  }
  return [...found.values()];
}

/**
 * Returns the steps that are not done. Jobs that have not started and can no longer earn anything are left out,
 * since all others go before them.
 */
function openStepsOf(job: Job, { times, time }: ForecastInput): Step[] {
  const open: Step[] = [];
  for (const occurrence of job.occurrences.values()) {
    const isOverdue =
      !job.hasStarted &&
      !occurrence.steps.some(isStarted) &&
      objectiveStatusOf(occurrence, times, time).outlook === 'overdue';
    if (!isOverdue) {
      open.push(...occurrence.steps.filter(({ remaining }) => remaining > 0));
    }
  }
  return open;
}

function isStarted({ tasks }: Step): boolean {
  return tasks.some(({ status }) => status !== 'waiting');
}

function emptyOpenWork(workClass: WorkClass): OpenWork {
  return {
    ...workClass,
    waiting: 0,
    backlog: 0,
    runningMilli: 0,
    runningWork: 0,
  };
}

function addStep(
  counted: OpenWork,
  step: Step,
  expectedMs: Millis,
  now: Instant,
): void {
  const { terms } = step.occurrence.job.spec;
  // Steps that ask the advice service wait for its answers, however much capacity there is.
  const mayStart = isReady(step) && terms.advice === undefined;
  const cores = coresOf(step);
  for (const task of step.tasks) {
    switch (task.status) {
      case 'waiting':
        counted.waiting += Number(mayStart);
        counted.backlog += cores * expectedMs;
        break;
      case 'running':
        counted.backlog += cores * leftOf(task, expectedMs, now);
        counted.runningMilli += step.spec.size.cpuMilli;
        counted.runningWork += cores * expectedMs;
        break;
      case 'done':
        break;
    }
  }
}

/** Returns what is left of a running task at full speed, by the run that is furthest. */
function leftOf({ runs }: Task, expectedMs: Millis, now: Instant): Millis {
  let left = expectedMs;
  for (const { progress, openedAt } of runs) {
    const percent = progress?.percent ?? 0;
    const ownLeft =
      percent > 0
        ? expectedMs * (1 - percent / PERCENT)
        : expectedMs - (now - (progress?.since ?? openedAt));
    left = Math.min(left, Math.max(0, ownLeft));
  }
  return left;
}

function classOf({ spec, occurrence }: Step): WorkClass {
  const { service, priority } = occurrence.job.spec.terms;
  return { service, priority, kind: capacityKindOf(spec) };
}

function coresOf({ spec }: Step): number {
  return spec.size.cpuMilli / MS_PER_S;
}

function keyOf({ service, kind, priority }: WorkClass): string {
  return JSON.stringify([service, kind, priority]);
}

/** Whether tasks of a class are served before or with those of another one. */
function precedes(one: WorkClass, other: WorkClass): boolean {
  return isSameKind(one, other) && one.priority <= other.priority;
}

function isSameKind(one: WorkClass, other: WorkClass): boolean {
  return one.service === other.service && one.kind === other.kind;
}

/** Returns the sum of an amount over a class and those that precede it. */
function sumOf(
  all: readonly OpenWork[],
  counted: WorkClass,
  amountOf: (each: OpenWork) => number,
): number {
  return sum(all.filter(each => precedes(each, counted)).map(amountOf));
}

/** Returns the sum of an amount over all priorities of a class's kind of capacity. */
function sumOfKind(
  all: readonly OpenWork[],
  counted: WorkClass,
  amountOf: (each: OpenWork) => number,
): number {
  return sum(all.filter(each => isSameKind(each, counted)).map(amountOf));
}

function sum(amounts: readonly number[]): number {
  return amounts.reduce((total, amount) => total + amount, 0);
}

function totalMs(intervals: readonly Interval[]): Millis {
  return sum(intervals.map(({ ms }) => ms));
}

/** Returns the core-milliseconds that were completed per second; 0 if there is no observation. */
function rateOf(intervals: readonly Interval[]): number {
  const completions = intervals.flatMap(each => each.completions);
  const work = sum(completions.map(each => each.work));
  return work === 0 ? 0 : (MS_PER_S * work) / totalMs(intervals);
}

/** Returns the mean of the processors in use, at least a thousandth of a core. */
function meanRunningOf(intervals: readonly Interval[]): number {
  const products = intervals.map(each => each.ms * each.runningMilli);
  return Math.max(1, sum(products) / totalMs(intervals));
}

/**
 * Returns the relative standard error of the rate if steps end independently of each other. Tasks of one step
 * run alike and mostly end together, so they count as one event.
 */
function relativeErrorOf(intervals: readonly Interval[]): number {
  const works = new Map<Step, number>();
  for (const { step, work } of intervals.flatMap(each => each.completions)) {
    works.set(step, (works.get(step) ?? 0) + work);
  }
  const total = sum([...works.values()]);
  const squares = sum([...works.values()].map(work => work ** 2));
  return total === 0 ? 0 : Math.sqrt(squares) / total;
}
