/** The order in which steps are given room. */
import type { Instant } from '../core/time.js';
import {
  isReady,
  isWaiting,
  occurrenceOf,
  type Job,
  type Occurrence,
  type Step,
} from './job.js';
import { standingOf, type Outlook, type PlanTime } from './objective.js';
import type { RunTimes } from './run-times.js';
import { MeanWork, expectedWorkOf, yieldOf } from './worth.js';

const OUTLOOK_ORDER: Readonly<Record<Outlook, number>> = {
  in_time: 0,
  late: 1,
  overdue: 2,
};

/** A step that may start tasks, with its place in the order. */
export interface Candidate {
  readonly step: Step;
  readonly priority: number;
  /** Whether a task of the occurrence was ever started. */
  readonly begun: boolean;
  /** What the occurrence can still be worth. */
  readonly outlook: Outlook;
  /** What the occurrence's end is worth for each core-millisecond that it still has to be given. */
  readonly yield: number;
  /** Monotonic time from which the occurrence's objective counts. */
  readonly since: Instant;
}

/**
 * Returns the steps with tasks that may start: lower priority numbers first; within one number tasks that
 * end before those that last.
 *
 * Of occurrences that end those that are begun go first, what is worth the most for the work that it still
 * has to be given before the rest: few are left half done. Others begin by what they can still be worth,
 * and the newest first. Which of them begin under overload thus has nothing to do with their size, so that
 * small ones can't keep large ones waiting for as long as more of them come; and what begins has most of
 * its time left, where by the latest start all would begin at the last moment and most end late.
 *
 * Of occurrences that last the oldest go first: time takes nothing from their worth.
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
    (lasting ? compareAge(a, b) : compareEnding(a, b))
  );
}

function compareEnding(a: Candidate, b: Candidate): number {
  if (a.begun !== b.begun) {
    return a.begun ? -1 : 1;
  }
  return a.begun
    ? b.yield - a.yield
    : OUTLOOK_ORDER[a.outlook] - OUTLOOK_ORDER[b.outlook] || compareAge(b, a);
}

/** The oldest first; a new leader sees all jobs at once, and tells them apart by their arrival. */
function compareAge(a: Candidate, b: Candidate): number {
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
    step => step.remaining > 0 && isReady(step) && step.tasks.some(isWaiting),
  );
  if (ready.length === 0) {
    return [];
  }
  const shared = {
    priority: occurrence.job.spec.terms.priority,
    begun: isBegun(occurrence),
    yield: yieldOf(occurrence, meanWork.of(queueOf(occurrence)), times),
    ...standingOf(occurrence, times, time),
  };
  return ready.map(step => ({ step, ...shared }));
}

function isBegun({ steps }: Occurrence): boolean {
  return steps.some(({ tasks }) => tasks.some(({ lastRun }) => lastRun > 0));
}
