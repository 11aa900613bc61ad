/** Runs that nobody needs: they are not started, and stopped where they run. */
import { isBrokenGang } from './gang.js';
import { isOver, type Run } from './job.js';

/** Why a run is not needed. */
export type Needless = 'over' | 'done' | 'broken_gang';

/** Tells why nobody needs a run: its job is over, a copy of its task is done, or its gang lacks a member. */
export function whyNeedless(run: Run): Needless | undefined {
  const { task } = run;
  if (isOver(task.step.occurrence.job)) {
    return 'over';
  }
  if (task.status === 'done') {
    return 'done';
  }
  return isBrokenGang(run) ? 'broken_gang' : undefined;
}
