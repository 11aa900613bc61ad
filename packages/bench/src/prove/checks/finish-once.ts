/** Jobs finish once and only once. */
import type { Check, Finding, Violation } from '../check.js';
import { eventsOf, type EventOf, type History } from '../history.js';
import {
  attemptsByTask,
  endOf,
  eventsOfAttempt,
  type Attempt,
} from './attempts.js';

/**
 * Checks that every task of a submitted job completes, and does not run again after it did.
 * A job that resumes lost work may repeat a completion that no one could learn of:
 * the worker was unreachable, or its agent restarted, before the next attempt.
 */
export const finishOnceCheck: Check = {
  name: 'finish_once',
  promise: 'Jobs finish once and only once.',
  cases: 'tasks of submitted jobs',
  check,
};

function check(history: History): Finding {
  const canceled = new Set(eventsOf(history, 'job_canceled').map(e => e.job));
  const jobs = eventsOf(history, 'job_submitted');
  const byTask = attemptsByTask(history);
  const violations = jobs.flatMap(job => {
    const own = [...byTask.values()].filter(
      attempts => attempts[0]?.began.job === job.job,
    );
    const mustFinish =
      eventsOf(history, 'settled').length > 0 && !canceled.has(job.job);
    return [
      ...own.flatMap(attempts => ranAgain(history, job, attempts)),
      ...(mustFinish ? unfinished(job, own) : []),
    ];
  });
  const checked = jobs.reduce((tasks, job) => tasks + job.tasks, 0);
  return { checked, violations };
}

function ranAgain(
  history: History,
  job: EventOf<'job_submitted'>,
  attempts: readonly Attempt[],
): Violation[] {
  return attempts.flatMap((attempt, i) => {
    const next = attempts[i + 1];
    if (next === undefined || !mustBeLast(job, attempt)) {
      return [];
    }
    const unknowable = couldNotBeLearned(history, attempt, next);
    if (job.onLostWorker === 'resume' && unknowable) {
      return [];
    }
    const end = attempt.ended?.end ?? '';
    const message = `${attempt.began.task} ran again after it was ${end}`;
    return [{ message, events: [...eventsOfAttempt(attempt), next.began] }];
  });
}

/** A completed attempt is the last; so is a lost one of a job that holds lost work for an operator. */
function mustBeLast(
  job: EventOf<'job_submitted'>,
  { ended }: Attempt,
): boolean {
  const lost = ended?.end === 'agent_restarted';
  return ended?.end === 'completed' || (lost && job.onLostWorker === 'hold');
}

/** Tells whether the agent restarted or could not be reached between the end of an attempt and the next start. */
function couldNotBeLearned(
  history: History,
  attempt: Attempt,
  next: Attempt,
): boolean {
  const { worker, boot } = attempt.began;
  const from = endOf(attempt);
  const to = next.began.at;
  const restarted = eventsOf(history, 'worker_up').some(
    up =>
      up.worker === worker && up.boot !== boot && up.at >= from && up.at <= to,
  );
  return restarted || wasCutOff(history, worker, from, to);
}

function wasCutOff(
  history: History,
  worker: string,
  from: number,
  to: number,
): boolean {
  const isCut = (event: EventOf<'fault_began'> | EventOf<'fault_ended'>) =>
    event.fault === 'worker_unreachable' && event.target === worker;
  const ends = eventsOf(history, 'fault_ended').filter(isCut);
  return eventsOf(history, 'fault_began')
    .filter(isCut)
    .some(cut => {
      const end = ends.find(event => event.at >= cut.at)?.at ?? Infinity;
      return cut.at <= to && end >= from;
    });
}

function unfinished(
  job: EventOf<'job_submitted'>,
  tasks: readonly (readonly Attempt[])[],
): Violation[] {
  const completed = tasks.filter(attempts =>
    attempts.some(attempt => attempt.ended?.end === 'completed'),
  );
  if (completed.length >= job.tasks || job.onLostWorker === 'hold') {
    return [];
  }
  const message = `${job.job} completed ${completed.length} of ${job.tasks} tasks`;
  return [{ message, events: [job] }];
}
