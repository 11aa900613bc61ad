/** Obsolete runs: they are not started any more, and are stopped if they run. */
import { isBrokenGang } from './gang.js';
import { isOver, type Run } from './job.js';

/** Why a run is obsolete. */
export type Needless = 'over' | 'done' | 'broken_gang';

/** Returns why a run is obsolete: its job is finished, its task is done by a copy, or its gang lacks a member. */
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
