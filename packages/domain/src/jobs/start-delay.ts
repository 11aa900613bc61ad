/**
 * Admission of jobs while the leader itself limits the starts, since its processor or its link is busy. What
 * waits then is started at the rate that the leader is seen to manage, so that it is known in advance which
 * jobs would begin too late.
 */
import type { Instant, Millis } from '../core/time.js';
import { isFinished, type Job } from './job.js';
import { losesByWaiting, type JobSpec } from './spec.js';

/**
 * Time until a new task would start, by priority: each entry counts the tasks of its own and of higher
 * priorities. Sorted by priority number; empty while the leader starts whatever fits on a worker.
 */
export type StartDelays = readonly (readonly [
  priority: number,
  delayMs: Millis,
])[];

/** Span over which starts are counted, long enough for several planning rounds of a slow leader. */
const RATE_WINDOW_MS: Millis = 3_000;
/** Time for which starts have to be limited without a break before a rate is known. */
const MIN_LIMITED_MS: Millis = 1_000;
/** Maximum number of priorities that are told apart; lower ones are added to the last of them. */
const MAX_PRIORITIES = 8;
const MS_PER_S = 1_000;

/** Observes the rate of starts while the leader limits it. */
export class StartRate {
  private limitedSince: Instant | undefined;
  private startedAt: Instant[] = [];

  /** Notes a planning round; `isLimited` if it could have started more than the leader can send. */
  noteRound(now: Instant, isLimited: boolean): void {
    if (!isLimited) {
      this.limitedSince = undefined;
      this.startedAt = [];
      return;
    }
    this.limitedSince ??= now;
  }

  /** Notes that a worker has confirmed a start. */
  noteStarted(now: Instant): void {
    if (this.limitedSince !== undefined) {
      this.startedAt.push(now);
    }
  }

  /** Returns the starts per second; undefined if they are not limited, or not for long enough. */
  perSecond(now: Instant): number | undefined {
    const since = this.limitedSince ?? Infinity;
    if (now - since < MIN_LIMITED_MS) {
      return undefined;
    }
    const from = Math.max(since, now - RATE_WINDOW_MS);
    this.startedAt = this.startedAt.filter(at => at >= from);
    // One start is assumed at least, so that the delay stays finite.
    const starts = Math.max(1, this.startedAt.length);
    return (MS_PER_S * starts) / (now - from);
  }
}

/** Returns the delays of new tasks at a rate of starts per second; none if the rate is not limited. */
export function startDelaysOf(
  openJobs: Iterable<Job>,
  startsPerSecond: number | undefined,
): StartDelays {
  if (startsPerSecond === undefined) {
    return [];
  }
  const waiting = waitingByPriority(openJobs);
  const delays: [number, Millis][] = [];
  let tasks = 0;
  for (const [priority, count] of waiting) {
    tasks += count;
    const delayMs = Math.round((MS_PER_S * tasks) / startsPerSecond);
    const last = delays.at(-1);
    if (last !== undefined && delays.length === MAX_PRIORITIES) {
      last[1] = delayMs;
    } else {
      delays.push([priority, delayMs]);
    }
  }
  return delays;
}

function waitingByPriority(jobs: Iterable<Job>): [number, number][] {
  const counts = new Map<number, number>();
  for (const job of jobs) {
    if (isFinished(job)) {
      continue;
    }
    const { priority } = job.spec.terms;
    counts.set(priority, (counts.get(priority) ?? 0) + countWaiting(job));
  }
  return [...counts].sort(([a], [b]) => a - b);
}

/** Counts the tasks still to be started that end by themselves, also of steps whose turn has not come. */
function countWaiting({ occurrences }: Job): number {
  let count = 0;
  for (const { steps } of occurrences.values()) {
    for (const { waiting, spec } of steps) {
      count += spec.lasting ? 0 : waiting;
    }
  }
  return count;
}

/** Returns how long after its objective a job accepted now would begin; 0 if it would begin before. */
export function latenessOf(job: JobSpec, delays: StartDelays): Millis {
  const { priority } = job.terms;
  const delay = delays.findLast(([other]) => other <= priority);
  return delay === undefined
    ? 0
    : Math.max(0, delay[1] - estimatedObjectiveOf(job));
}

/** Returns the length of a job's longest chain of steps by its caller's estimates. */
export function estimatedPathOf({ steps }: JobSpec): Millis {
  const ends: Millis[] = [];
  for (const { after, estimateMs } of steps) {
    ends.push(estimateMs + Math.max(0, ...after.map(at => ends[at] ?? 0)));
  }
  return Math.max(0, ...ends);
}

/** Returns the objective of a job by its caller's estimates; infinite if the job loses nothing by waiting. */
export function estimatedObjectiveOf(job: JobSpec): Millis {
  const { terms } = job;
  if (!losesByWaiting(job)) {
    return Infinity;
  }
  return terms.deadlineFactor * estimatedPathOf(job) + terms.targetLatencyMs;
}
