/** Tells operators of the runs that are given up with their worker. */
import { refOf, taskName, type Run } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { AbandonedWorkerReason } from './meters.js';

/** Most runs that the line names: what brings a worker down is mostly what began there last. */
const NAMED_RUNS = 5;

/** Tells that all runs of a worker are given up, and which of them began last. */
export function tellGivenUp(
  ctx: HostContext,
  worker: string,
  runs: readonly Run[],
  reason: AbandonedWorkerReason,
  contact: Readonly<Record<string, unknown>> = {},
): void {
  if (runs.length === 0) {
    return;
  }
  ctx.meters.workerGivenUp(reason);
  const now = ctx.clock();
  const newest = [...runs]
    .sort((a, b) => b.openedAt - a.openedAt)
    .slice(0, NAMED_RUNS)
    .map(({ task, number, openedAt, progress }) => ({
      task: taskName(refOf(task)),
      run: number,
      confirmed: progress?.confirmed ?? false,
      openedMsAgo: Math.round(now - openedAt),
    }));
  ctx.log.warn(
    { worker, runs: runs.length, reason, newest, ...contact },
    'worker: its runs are given up',
  );
}
