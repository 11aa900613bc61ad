/** Restates jobs in time, so that the log can drop older records of them. */
import type { Millis } from '@paddlewind/domain';
import {
  hasOpenRuns,
  imageOf,
  isFinished,
  type Job,
  type JobsState,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { DecisionLog } from './decision-log.js';
import { MAX_RESTATED_JOBS, RESTATE_RETENTION_FRACTION } from './timing.js';

/**
 * Records the state of jobs whose records may soon be dropped by the log, which keeps them for `retentionMs`, and of
 * jobs that were submitted more than once.
 */
export function restateDueJobs(
  state: JobsState,
  decisions: DecisionLog,
  ctx: HostContext,
  retentionMs: Millis,
): void {
  const { clock } = ctx;
  const due = [
    ...finishedRepeats(state),
    ...jobsDue(state, ctx, retentionMs * RESTATE_RETENTION_FRACTION),
  ];
  for (const job of due.slice(0, MAX_RESTATED_JOBS)) {
    job.restatedAt = clock();
    if (isSettled(job)) {
      state.submittedAgain.delete(job);
    }
    decisions.record({ kind: 'restate', image: imageOf(job, state) });
  }
}

/**
 * Returns the finished jobs that were submitted more than once. The log keeps the last submission longer than the
 * records of the job, and a host that reads only that would run the job again.
 */
function finishedRepeats({ submittedAgain }: JobsState): Job[] {
  return [...submittedAgain].filter(isSettled);
}

/** Whether a job is finished and none of its runs is open, so that its state changes no more. */
function isSettled(job: Job): boolean {
  return isFinished(job) && !hasOpenRuns(job);
}

/** Returns the jobs that were neither accepted nor restated within `dueMs`, and are not restated as repeats. */
function jobsDue(
  { jobs, submittedAgain }: JobsState,
  { clock, wallClock }: HostContext,
  dueMs: Millis,
): Job[] {
  const now = clock();
  const nowWall = wallClock();
  return [...jobs.values()].filter(job => {
    // Uses both clocks: the wall clock may jump, and this host may have learned of the job late.
    const ageMs = Math.max(now - job.receivedAt, nowWall - job.acceptedAtWall);
    const isDue = ageMs > dueMs && now - (job.restatedAt ?? -Infinity) > dueMs;
    return isDue && !(submittedAgain.has(job) && isSettled(job));
  });
}
