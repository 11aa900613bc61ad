/** When an occurrence has to end, and whether it still can. */
import type { Instant, Millis } from '../core/time.js';
import type { Occurrence, Step } from './job.js';
import type { RunTimes } from './run-times.js';

/** Whether an occurrence can still meet its objective, be late, or has missed even that. */
export type Outlook = 'in_time' | 'late' | 'overdue';

/** A late end is worth something up to this many times the objective, as the users' rules say. */
const LATE_FACTOR = 3;

/** The clocks of one planning round. */
export interface PlanTime {
  /** Monotonic. */
  readonly now: Instant;
  readonly nowWall: Instant;
}

/** Where an occurrence stands against its objective. */
export interface Standing {
  readonly outlook: Outlook;
  /** Monotonic time from which the objective counts. */
  readonly since: Instant;
}

/** Returns where an occurrence stands against its objective. */
export function standingOf(
  occurrence: Occurrence,
  times: RunTimes,
  time: PlanTime,
): Standing {
  const since = beginningOf(occurrence, time);
  const allowedMs = objectiveOf(occurrence, times);
  const leftMs = longestChain(occurrence, times, step => step.remaining > 0);
  const latestStart = since + allowedMs - leftMs;
  const lastStart = since + LATE_FACTOR * allowedMs - leftMs;
  return { outlook: outlookOf(time.now, latestStart, lastStart), since };
}

/** How long an occurrence may take to meet its objective. */
export function objectiveOf(occurrence: Occurrence, times: RunTimes): Millis {
  const { deadlineFactor, targetLatencyMs } = occurrence.job.spec.terms;
  const chainMs = longestChain(occurrence, times, () => true);
  return deadlineFactor * chainMs + targetLatencyMs;
}

function outlookOf(
  now: Instant,
  latestStart: Instant,
  lastStart: Instant,
): Outlook {
  if (now <= latestStart) {
    return 'in_time';
  }
  return now <= lastStart ? 'late' : 'overdue';
}

/** Monotonic time from which the objective counts. */
function beginningOf(occurrence: Occurrence, time: PlanTime): Instant {
  const { job, number } = occurrence;
  const { repetition } = job.spec;
  if (repetition === undefined) {
    return job.seenAt ?? time.now;
  }
  const dueAtWall = repetition.firstAtWall + number * repetition.everyMs;
  return time.now - (time.nowWall - dueAtWall);
}

/** Expected time of the longest chain of steps that `counts` holds for. */
function longestChain(
  { steps }: Occurrence,
  times: RunTimes,
  counts: (step: Step) => boolean,
): Millis {
  const ends: Millis[] = [];
  for (const step of steps) {
    const before = step.spec.after.map(at => ends[at] ?? 0);
    const own = counts(step) ? times.expectedMs(step) : 0;
    ends.push(Math.max(0, ...before) + own);
  }
  return Math.max(0, ...ends);
}
