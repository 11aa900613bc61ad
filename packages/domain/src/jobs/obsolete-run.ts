/** Obsolete runs: they are not started any more, and are stopped if they run. */
import { isBrokenGang } from './gang.js';
import { isFinished, type Run } from './job.js';

/** Why a run is obsolete. */
export type ObsoleteReason = 'over' | 'done' | 'broken_gang';

/** Returns why a run is obsolete: its job is finished, a copy completed its task, or its gang is broken. */
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
