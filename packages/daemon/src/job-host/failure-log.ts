/** The leader's log line on why a job has failed. */
import type { Instant } from '@paddlewind/domain';
import {
  refOf,
  reportedStateOf,
  suspicionPercent,
  taskName,
  workersLostUnder,
  type AppliedLoss,
  type JobsState,
  type Loss,
  type Task,
  type WorkerLossKind,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { WonClaim } from './leadership.js';
import type { RunFailures } from './run-failures.js';

/** Maximum number of losses, runs or workers that one field of the line names. */
const MAX_NAMED = 20;

/** The leader that writes the line. */
interface LogSource {
  readonly ctx: HostContext;
  readonly claim: WonClaim;
  readonly state: JobsState;
}

/** Logs on one line why the job of a task has failed, and counts it; does nothing if it has not failed. */
export function logJobFailure(
  { ctx, claim, state }: LogSource,
  task: Task,
  failures: RunFailures,
): void {
  const { job } = task.step.occurrence;
  const { failure: reason } = reportedStateOf(job);
  if (reason === undefined) {
    return;
  }
  ctx.meters.jobFailed(reason);
  const now = ctx.clock();
  const { epoch, wonAt } = claim;
  const { queue, maxAttempts } = job.spec.terms;
  ctx.log.warn(
    {
      // The fields that tell most come first: collected lines may be cut short.
      job: job.spec.id,
      reason,
      lossKinds: countKinds(task, failures),
      task: taskName(refOf(task)),
      epoch,
      maxAttempts,
      queue,
      leadsForMs: Math.round(now - wonAt),
      runs: task.lastRun,
      ...attemptFields(task, failures, now),
      suspicionPercent: suspicionPercent(task),
      othersLost: failures.countLost(workersLostUnder(task), now),
      losses: task.lossHistory.losses
        .slice(-MAX_NAMED)
        .map(loss => lossFields(state, task, loss, failures, now)),
    },
    'leader: a job has failed',
  );
}

/** How a worker was lost, or from where the loss is known if this leader did not judge it. */
type KnownKind = WorkerLossKind | 'earlier_leader' | 'restated';

/** Returns the number of losses of a task of each kind. */
function countKinds(
  task: Task,
  failures: RunFailures,
): Partial<Record<KnownKind, number>> {
  const counts: Partial<Record<KnownKind, number>> = {};
  for (const { applied } of task.lossHistory.losses) {
    const kind = kindOf(task, applied, failures);
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}

function kindOf(
  task: Task,
  applied: AppliedLoss | undefined,
  failures: RunFailures,
): KnownKind {
  return applied === undefined
    ? 'restated'
    : (failures.circumstancesOf(task, applied.run)?.lossKind ??
        'earlier_leader');
}

/** Returns the fields on failed runs: the counts of the journal, and the runs seen by this leader. */
function attemptFields(
  task: Task,
  failures: RunFailures,
  now: Instant,
): Record<string, unknown> {
  const { spec, failedGangRuns } = task.step;
  const gang = spec.gang
    ? { failedGangRuns: [...failedGangRuns].slice(-MAX_NAMED) }
    : {};
  return {
    failures: task.failures,
    failedOn: [...task.failedOn].slice(-MAX_NAMED),
    ...gang,
    failedRuns: failures.failedRunsOf(task).map(({ run, worker, at }) => ({
      run,
      worker,
      msAgo: Math.round(now - at),
    })),
  };
}

/** Returns the fields of a loss; those on its circumstances are known only of losses under this leader. */
function lossFields(
  { journalTime }: JobsState,
  task: Task,
  loss: Loss,
  failures: RunFailures,
  now: Instant,
): Record<string, unknown> {
  const { worker, suspicion, age, noise = 0, resumedFrom, applied } = loss;
  const fields = { worker, suspicion, age, noise, resumedFrom };
  if (applied === undefined) {
    return { ...fields, msAgo: 'unknown' };
  }
  const { run, epoch, at, journalAt } = applied;
  return {
    run,
    epoch,
    msAgo: Math.round(now - at),
    journalMsAgo: Math.round(journalTime.now - journalAt),
    ...fields,
    ...failures.circumstancesOf(task, run),
  };
}
