/** Restates jobs in time, so that the log needs to keep no older record of them. */
import type { Millis } from '@paddlewind/domain';
import { imageOf, type JobsState } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { DecisionLog } from './decision-log.js';
import { RESTATE_BATCH, RESTATE_RETENTION_FRACTION } from './timing.js';

/** Decides to restate jobs whose records the log, which keeps them for `retentionMs`, may soon drop. */
export function restateDue(
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
    // By both clocks: the time of day may jump, and this host may have learnt of the job late.
    const ageMs = Math.max(now - job.receivedAt, nowWall - job.acceptedAtWall);
    if (ageMs > dueMs && now - (job.restatedAt ?? -Infinity) > dueMs) {
      job.restatedAt = now;
      decisions.record({ kind: 'restate', image: imageOf(job, state) });
      count += 1;
      if (count >= RESTATE_BATCH) {
        return;
      }
    }
  }
}
