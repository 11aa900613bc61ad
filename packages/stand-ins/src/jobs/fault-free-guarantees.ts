/** Checks the guarantees that apply only in the absence of faults. */
import type { Instant, Millis } from '@paddlewind/domain';
import { taskName } from '@paddlewind/domain/jobs';

import { RECOVERY_MS, type FaultTimes } from './fault-times.js';
import {
  violation,
  type HistoryFacts,
  type RunTrace,
  type Violation,
} from './history-facts.js';
import { CANCEL_DELAY_MS } from './run-guarantees.js';

/** Maximum duration of a stop, by the specification. */
const MAX_STOP_MS: Millis = 900;
/** How long a gang member waits for the others, by the specification. */
const GANG_WAIT_MS: Millis = 3_000;

/** Returns the runs that should have ended, and the members of incomplete gangs that kept running. */
export function checkFaultFree(facts: HistoryFacts): Violation[] {
  const { faults } = facts;
  return faults === undefined
    ? []
    : [...runsAfterCancel(facts, faults), ...incompleteGangs(facts, faults)];
}

/** Returns runs of cancelled jobs that continued through a fault-free period. */
function runsAfterCancel(
  { jobs, runs, now }: HistoryFacts,
  faults: FaultTimes,
): Violation[] {
  return runs
    .filter(run => {
      const cancelledAt = jobs.get(run.task.job)?.cancelledAt ?? Infinity;
      const from = Math.max(cancelledAt, run.startedAt);
      const end = Math.min(run.endedAt, now);
      return (
        !run.delayed &&
        [from, ...faults.ends().map(until => until + RECOVERY_MS + 1)].some(
          at =>
            at >= from &&
            at + CANCEL_DELAY_MS + MAX_STOP_MS < end &&
            faults.isFaultFree(
              at - RECOVERY_MS,
              at + CANCEL_DELAY_MS + MAX_STOP_MS,
            ),
        )
      );
    })
    .map(run => violation('ends_after_cancel', taskName(run.task), [run]));
}

function incompleteGangs(facts: HistoryFacts, faults: FaultTimes): Violation[] {
  const { jobs, runs, now } = facts;
  return runs.flatMap(run => {
    const job = jobs.get(run.task.job);
    const step = job?.steps[run.task.step];
    if (run.delayed || job === undefined || step?.gang !== true) {
      return [];
    }
    const deadline = incompleteSince(run, step.tasks, runs) + GANG_WAIT_MS;
    const cancelAt = Math.min(
      job.cancelledAt,
      job.cancelRequestedAt ?? Infinity,
    );
    return deadline <= Math.min(run.endedAt, now) &&
      deadline < cancelAt &&
      faults.isFaultFree(deadline - GANG_WAIT_MS - RECOVERY_MS, deadline)
      ? [violation('gang_together', taskName(run.task), [run])]
      : [];
  });
}

/** Returns the time from which a member ran without all others: its start, or the first end of another. */
function incompleteSince(
  run: RunTrace,
  members: number,
  runs: readonly RunTrace[],
): Instant {
  const others = runs.filter(
    other =>
      other.run === run.run &&
      other.task.job === run.task.job &&
      other.task.occurrence === run.task.occurrence &&
      other.task.step === run.task.step,
  );
  const started = new Set(
    others
      .filter(({ startedAt }) => startedAt < run.startedAt + GANG_WAIT_MS)
      .map(({ task }) => task.index),
  );
  if (started.size < members) {
    return run.startedAt;
  }
  const endedEarly = others.filter(
    ({ how }) => how !== undefined && how !== 'done',
  );
  return Math.min(
    Infinity,
    ...endedEarly.map(({ endedAt }) => Math.max(run.startedAt, endedAt)),
  );
}
