/** Latency objectives of occurrences, and whether they can still be met. */
import type { Instant, Millis } from '../core/time.js';
import type { Occurrence, Step } from './job.js';
import type { RunTimes } from './run-times.js';

/** Best outcome still possible: in time for the objective, late but of some value, or too late for any. */
export type Outlook = 'in_time' | 'late' | 'overdue';

/** A late result keeps some value up to this many times the objective, as the users' rules say. */
export const MAX_LATE_FACTOR = 3;

/** Clock readings of one planning round. */
export interface PlanTime {
  /** Monotonic time. */
  readonly now: Instant;
  readonly nowWall: Instant;
}

/** State of an occurrence relative to its objective. */
export interface ObjectiveStatus {
  readonly outlook: Outlook;
  /** Monotonic time at which the objective starts to count. */
  readonly since: Instant;
}

/** Returns the state of an occurrence relative to its objective. */
export function objectiveStatusOf(
  occurrence: Occurrence,
  times: RunTimes,
  time: PlanTime,
): ObjectiveStatus {
  const since = objectiveStartOf(occurrence, time);
  const allowedMs = objectiveMsOf(occurrence, times);
  const remainingMs = criticalPathMs(
    occurrence,
    times,
    step => step.remaining > 0,
  );
  const latestStart = since + allowedMs - remainingMs;
  const lastUsefulStart = since + MAX_LATE_FACTOR * allowedMs - remainingMs;
  return { outlook: outlookOf(time.now, latestStart, lastUsefulStart), since };
}

/** Returns the time in which an occurrence has to end to meet its objective. */
export function objectiveMsOf(occurrence: Occurrence, times: RunTimes): Millis {
  const { deadlineFactor, targetLatencyMs } = occurrence.job.spec.terms;
  const pathMs = criticalPathMs(occurrence, times, () => true);
  return deadlineFactor * pathMs + targetLatencyMs;
}

function outlookOf(
  now: Instant,
  latestStart: Instant,
  lastUsefulStart: Instant,
): Outlook {
  if (now <= latestStart) {
    return 'in_time';
  }
  return now <= lastUsefulStart ? 'late' : 'overdue';
}

/** Returns the monotonic time at which the objective starts to count. */
function objectiveStartOf(occurrence: Occurrence, time: PlanTime): Instant {
  const { job, number } = occurrence;
  const { repetition } = job.spec;
  if (repetition === undefined) {
    return job.seenAt ?? time.now;
  }
  const dueAtWall = repetition.firstAtWall + number * repetition.everyMs;
  return time.now - (time.nowWall - dueAtWall);
}

/** Returns the expected duration of the critical path, counting only the included steps. */
function criticalPathMs(
  { steps }: Occurrence,
  times: RunTimes,
  isIncluded: (step: Step) => boolean,
): Millis {
  const ends: Millis[] = [];
  for (const step of steps) {
    const before = step.spec.after.map(at => ends[at] ?? 0);
    const own = isIncluded(step) ? times.longestMs(step) : 0;
    ends.push(Math.max(0, ...before) + own);
  }
  return Math.max(0, ...ends);
}
