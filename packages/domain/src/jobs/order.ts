/** The order in which waiting steps are given capacity. */
import type { Instant } from '../core/time.js';
import {
  isReady,
  occurrenceOf,
  type Job,
  type Occurrence,
  type Step,
} from './job.js';
import { objectiveStatusOf, type Outlook, type PlanTime } from './objective.js';
import type { RunTimes } from './run-times.js';
import { MeanWork, expectedWorkOf, valuePerWork } from './job-value.js';

const OUTLOOK_ORDER: Readonly<Record<Outlook, number>> = {
  in_time: 0,
  late: 1,
  overdue: 2,
};

/** A step with tasks that may start, and the criteria of its position in the order. */
export interface Candidate {
  readonly step: Step;
  readonly priority: number;
  /** Whether a task of the occurrence was ever started. */
  readonly started: boolean;
  /** Best outcome still possible for the occurrence. */
  readonly outlook: Outlook;
  /** Value of completing the occurrence for each core-millisecond that its waiting tasks still need. */
  readonly valuePerWork: number;
  /** Monotonic time at which the occurrence's objective starts to count. */
  readonly since: Instant;
}

/**
 * Returns the steps with tasks that may start, in scheduling order: by priority number, and within a priority
 * batch tasks (those that end by themselves) before long-running ones.
 *
 * Batch occurrences that have started go first, by value per outstanding work, so that few are left half
 * done. The others are ordered by the best outcome still possible, and the newest first. Under overload their
 * size therefore does not matter, and a steady supply of small ones cannot starve large ones. It also means
 * that an occurrence starts with most of its time left; ordered by latest possible start, all would start at
 * the last moment and most would end late.
 *
 * Long-running occurrences are ordered by age, the oldest first, since they lose no value by waiting.
 */
export function orderedCandidates(
  jobs: Iterable<Job>,
  times: RunTimes,
  time: PlanTime,
): Candidate[] {
  const open = [...openOccurrences(jobs, time)];
  const meanWork = new MeanWork();
  for (const occurrence of open) {
    meanWork.add(queueOf(occurrence), expectedWorkOf(occurrence, times));
  }
  return open
    .flatMap(occurrence => readySteps(occurrence, times, time, meanWork))
    .sort(compareCandidates);
}

function* openOccurrences(
  jobs: Iterable<Job>,
  time: PlanTime,
): Iterable<Occurrence> {
  for (const job of jobs) {
    job.seenAt ??= time.now;
    createDueOccurrences(job, time.nowWall);
    for (const occurrence of job.occurrences.values()) {
      if (occurrence.remaining > 0) {
        yield occurrence;
      }
    }
  }
}

function queueOf({ job }: Occurrence): string {
  return job.spec.terms.queue;
}

function compareCandidates(a: Candidate, b: Candidate): number {
  const { lasting } = a.step.spec;
  return (
    a.priority - b.priority ||
    Number(lasting) - Number(b.step.spec.lasting) ||
    (lasting ? compareByAge(a, b) : compareBatch(a, b))
  );
}

function compareBatch(a: Candidate, b: Candidate): number {
  if (a.started !== b.started) {
    return a.started ? -1 : 1;
  }
  return a.started
    ? b.valuePerWork - a.valuePerWork
    : OUTLOOK_ORDER[a.outlook] - OUTLOOK_ORDER[b.outlook] || compareByAge(b, a);
}

/** Sorts the oldest first; a new leader first sees all jobs at once, so their order of arrival decides. */
function compareByAge(a: Candidate, b: Candidate): number {
  return a.since - b.since || arrivalOf(a) - arrivalOf(b);
}

function arrivalOf({ step }: Candidate): number {
  return step.occurrence.job.arrival;
}

function createDueOccurrences(job: Job, nowWall: Instant): void {
  const { repetition } = job.spec;
  if (repetition === undefined) {
    return;
  }
  const { firstAtWall, everyMs, times } = repetition;
  for (let number = job.occurrences.size; number < times; number += 1) {
    if (firstAtWall + number * everyMs > nowWall) {
      return;
    }
    occurrenceOf(job, number);
  }
}

function readySteps(
  occurrence: Occurrence,
  times: RunTimes,
  time: PlanTime,
  meanWork: MeanWork,
): Candidate[] {
  const ready = occurrence.steps.filter(
    step => step.waiting > 0 && isReady(step),
  );
  if (ready.length === 0) {
    return [];
  }
  const shared = {
    priority: occurrence.job.spec.terms.priority,
    started: isStarted(occurrence),
    valuePerWork: valuePerWork(
      occurrence,
      meanWork.meanOf(queueOf(occurrence)),
      times,
    ),
    ...objectiveStatusOf(occurrence, times, time),
  };
  return ready.map(step => ({ step, ...shared }));
}

function isStarted({ steps }: Occurrence): boolean {
  return steps.some(({ tasks }) => tasks.some(({ lastRun }) => lastRun > 0));
}
