/** Evicted work resumes exactly once, from where it was. */
import type { Check, Finding, Violation } from '../check.js';
import { eventsOf, type History } from '../history.js';
import {
  attemptsByTask,
  endOf,
  eventsOfAttempt,
  type Attempt,
} from './attempts.js';

/** Checks that each attempt starts once, and that evicted tasks start again when their job goes on. */
export const resumeOnceCheck: Check = {
  name: 'resume_once',
  promise: 'Work that is evicted resumes exactly once.',
  cases: 'attempts that ended early',
  check,
};

function check(history: History): Finding {
  const canceled = new Set(eventsOf(history, 'job_canceled').map(e => e.job));
  const settled = eventsOf(history, 'settled').length > 0;
  const byTask = [...attemptsByTask(history).values()];
  const violations = byTask.flatMap(attempts => {
    const job = attempts[0]?.began.job ?? '';
    const mustResume = settled && !canceled.has(job);
    return [
      ...startedTwice(attempts),
      ...(mustResume ? notResumed(attempts) : []),
    ];
  });
  const checked = byTask.flat().filter(endedEarly).length;
  return { checked, violations };
}

function endedEarly({ ended }: Attempt): boolean {
  return ended?.end === 'stopped';
}

/**
 * One decision to resume must start one attempt. The start is sent again to an agent that
 * restarted and forgot it: that repeat is judged by `finish_once`.
 */
function startedTwice(attempts: readonly Attempt[]): Violation[] {
  return attempts.flatMap((attempt, i) => {
    const { task, attempt: number, worker, boot } = attempt.began;
    const twin = attempts
      .slice(0, i)
      .find(other => other.began.attempt === number);
    const restarted =
      twin?.began.worker === worker &&
      twin.began.boot !== boot &&
      endOf(twin) <= attempt.began.at &&
      !endedEarly(twin);
    if (twin === undefined || restarted) {
      return [];
    }
    const message = `attempt ${number} of ${task} started twice`;
    return [{ message, events: [...eventsOfAttempt(twin), attempt.began] }];
  });
}

function notResumed(attempts: readonly Attempt[]): Violation[] {
  const last = attempts.at(-1);
  if (last === undefined || !endedEarly(last)) {
    return [];
  }
  const message = `${last.began.task} was stopped and never resumed`;
  return [{ message, events: eventsOfAttempt(last) }];
}
