/** Restates jobs in time, so that the log can drop older records of them. */
import type { Millis } from '@paddlewind/domain';
import { imageOf, type JobsState } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { DecisionLog } from './decision-log.js';
import { MAX_RESTATED_JOBS, RESTATE_RETENTION_FRACTION } from './timing.js';

/**
 * Records the state of jobs whose records may soon be dropped by the log, which keeps them for `retentionMs`.
 */
export function restateDueJobs(
  state: JobsState,
  decisions: DecisionLog,
  { clock, wallClock }: HostContext,
  retentionMs: Millis,
): void {
  const dueMs = retentionMs * RESTATE_RETENTION_FRACTION;
  const now = clock();
  const nowWall = wallClock();
  let count = 0;
  for (const job of state.jobs.values()) {
    // Uses both clocks: the wall clock may jump, and this host may have learned of the job late.
    const ageMs = Math.max(now - job.receivedAt, nowWall - job.acceptedAtWall);
    if (ageMs > dueMs && now - (job.restatedAt ?? -Infinity) > dueMs) {
      job.restatedAt = now;
      decisions.record({ kind: 'restate', image: imageOf(job, state) });
      count += 1;
      if (count >= MAX_RESTATED_JOBS) {
        return;
      }
    }
  }
}
