/** Runs that nobody needs: they are not started, and stopped where they run. */
import { isBrokenGang } from './gang.js';
import { isFinished, type Run } from './job.js';

/** Why a run is not needed. */
export type ObsoleteReason = 'over' | 'done' | 'broken_gang';

/** Tells why nobody needs a run: its job is over, a copy of its task is done, or its gang lacks a member. */
export function obsoleteReasonOf(run: Run): ObsoleteReason | undefined {
  const { task } = run;
  if (isFinished(task.step.occurrence.job)) {
    return 'over';
  }
  if (task.status === 'done') {
    return 'done';
  }
  return isBrokenGang(run) ? 'broken_gang' : undefined;
}
