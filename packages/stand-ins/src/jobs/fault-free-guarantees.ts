/** Promises that hold while nothing is disturbed. */
import type { Instant, Millis } from '@paddlewind/domain';
import { taskName } from '@paddlewind/domain/jobs';

import { CONTACT_MS, type FaultTimes } from './fault-times.js';
import {
  violation,
  type Facts,
  type RunTrace,
  type Violation,
} from './history-facts.js';
import { CANCEL_MS } from './run-guarantees.js';

/** Longest time that a stop takes, as the users' rules say. */
const STOP_MS: Millis = 900;
/** How long members of a gang wait for the others, as the users' rules say. */
const GANG_MS: Millis = 3_000;

/** Returns the broken promises on runs that should have ended, or have had company. */
export function checkCalm(facts: Facts): Violation[] {
  const { faults } = facts;
  return faults === undefined
    ? []
    : [...goesOn(facts, faults), ...alone(facts, faults)];
}

/** What is left of a cancelled job has to be gone after any calm stretch. */
function goesOn({ jobs, runs, now }: Facts, faults: FaultTimes): Violation[] {
  return runs
    .filter(run => {
      const cancelledAt = jobs.get(run.task.job)?.cancelledAt ?? Infinity;
      const from = Math.max(cancelledAt, run.beganAt);
      const end = Math.min(run.endedAt, now);
      return (
        !run.late &&
        [from, ...faults.ends().map(until => until + CONTACT_MS + 1)].some(
          at =>
            at >= from &&
            at + CANCEL_MS + STOP_MS < end &&
            faults.isFaultFree(at - CONTACT_MS, at + CANCEL_MS + STOP_MS),
        )
      );
    })
    .map(run => violation('ends_after_cancel', taskName(run.task), [run]));
}

function alone(facts: Facts, faults: FaultTimes): Violation[] {
  const { jobs, runs, now } = facts;
  return runs.flatMap(run => {
    const job = jobs.get(run.task.job);
    const step = job?.steps[run.task.step];
    if (run.late || job === undefined || step?.gang !== true) {
      return [];
    }
    const aloneAt = aloneFrom(run, step.tasks, runs) + GANG_MS;
    const cancelAt = Math.min(job.cancelledAt, job.cancelRequestedAt ?? Infinity);
    return aloneAt <= Math.min(run.endedAt, now) &&
      aloneAt < cancelAt &&
      faults.isFaultFree(aloneAt - GANG_MS - CONTACT_MS, aloneAt)
      ? [violation('gang_together', taskName(run.task), [run])]
      : [];
  });
}

/** Returns since when a member is at work without all others for as long as they are waited for. */
function aloneFrom(
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
  const came = new Set(
    others
      .filter(({ beganAt }) => beganAt < run.beganAt + GANG_MS)
      .map(({ task }) => task.index),
  );
  if (came.size < members) {
    return run.beganAt;
  }
  const left = others.filter(({ how }) => how !== undefined && how !== 'done');
  return Math.min(
    Infinity,
    ...left.map(({ endedAt }) => Math.max(run.beganAt, endedAt)),
  );
}
