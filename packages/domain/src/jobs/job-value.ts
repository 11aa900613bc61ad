/** Value of completing an occurrence, in relation to the work that it still needs. */
import type { Occurrence, Step } from './job.js';
import type { RunTimes } from './run-times.js';

/** Fraction of a mean job's value that every job has; the rest grows with its work, by the users' rules. */
const FIXED_VALUE_FRACTION = 0.3;
/** Upper bound of the value of a job, in mean jobs of its queue, as the users' rules say. */
const MAX_VALUE = 4;
const MILLI = 1_000;

/** Mean work of the open occurrences of each queue, in core-milliseconds. */
export class MeanWork {
  private readonly sums = new Map<string, { work: number; count: number }>();

  /** Adds the work of an occurrence. */
  add(queue: string, work: number): void {
    const known = this.sums.get(queue) ?? { work: 0, count: 0 };
    known.work += work;
    known.count += 1;
    this.sums.set(queue, known);
  }

  /** Returns the mean work of a queue; 0 for one without occurrences. */
  meanOf(queue: string): number {
    const known = this.sums.get(queue);
    return known === undefined ? 0 : known.work / known.count;
  }
}

/** Returns an occurrence's expected work, in core-milliseconds, for `tasksOf(step)` tasks of each step. */
export function expectedWorkOf(
  { steps }: Occurrence,
  times: RunTimes,
  tasksOf: (step: Step) => number = ({ spec }) => spec.tasks,
): number {
  return steps.reduce((sum, step) => {
    const cores = step.spec.size.cpuMilli / MILLI;
    return sum + cores * times.expectedMs(step) * tasksOf(step);
  }, 0);
}

/**
 * Returns the value of completing an occurrence for each unit of work that its waiting tasks need. It is high
 * if the occurrence is small, or if nearly all of its tasks are running or done. The value is in units of
 * work: that of a mean job of the queue equals its work.
 */
export function valuePerWork(
  occurrence: Occurrence,
  meanWork: number,
  times: RunTimes,
): number {
  const work = expectedWorkOf(occurrence, times);
  const value =
    FIXED_VALUE_FRACTION * meanWork + (1 - FIXED_VALUE_FRACTION) * work;
  const outstandingWork = expectedWorkOf(
    occurrence,
    times,
    ({ waiting }) => waiting,
  );
  return Math.min(MAX_VALUE * meanWork, value) / Math.max(1, outstandingWork);
}
