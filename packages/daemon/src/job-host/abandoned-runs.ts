/** Logs the runs that are abandoned together with their worker. */
import { refOf, taskName, type Run } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { AbandonedWorkerReason } from './meters.js';

/**
 * Maximum number of runs named in the log line. A worker is mostly brought down by the runs that started
 * last.
 */
const MAX_NAMED_RUNS = 5;

/** Logs that all runs of a worker are abandoned, and which of them started last. */
export function logAbandonedRuns(
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
    .slice(0, MAX_NAMED_RUNS)
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
