/** What the end of an occurrence is worth for the work that it still needs. */
import type { Occurrence, Step } from './job.js';
import type { RunTimes } from './run-times.js';

/** Share of a mean job's worth that every job has; the rest grows with its work, as the users' rules say. */
const FIXED_WORTH = 0.3;
/** Most that a job is worth, in mean jobs of its queue, as the users' rules say. */
const MAX_WORTH = 4;
const MILLI = 1_000;

/** Mean work of the open occurrences of each queue, in core-milliseconds. */
export class MeanWork {
  private readonly sums = new Map<string, { work: number; count: number }>();

  /** Takes in the work of an occurrence. */
  add(queue: string, work: number): void {
    const known = this.sums.get(queue) ?? { work: 0, count: 0 };
    known.work += work;
    known.count += 1;
    this.sums.set(queue, known);
  }

  /** Returns the mean of a queue; 0 for one without work. */
  of(queue: string): number {
    const known = this.sums.get(queue);
    return known === undefined ? 0 : known.work / known.count;
  }
}

/** Expected work of an occurrence in core-milliseconds, of as many tasks of each step as `tasksOf` says. */
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
 * Returns what an occurrence is worth, in the work of a mean one of its queue, for each unit of work that
 * it has still to be given: high for one that is small, or of which nearly all tasks run or are done.
 */
export function yieldOf(
  occurrence: Occurrence,
  meanWork: number,
  times: RunTimes,
): number {
  const work = expectedWorkOf(occurrence, times);
  const worth = FIXED_WORTH * meanWork + (1 - FIXED_WORTH) * work;
  const wanted = expectedWorkOf(occurrence, times, waitingTasks);
  return Math.min(MAX_WORTH * meanWork, worth) / Math.max(1, wanted);
}

function waitingTasks({ tasks }: Step): number {
  let count = 0;
  for (const { status } of tasks) {
    count += Number(status === 'waiting');
  }
  return count;
}
