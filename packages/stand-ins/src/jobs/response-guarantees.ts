/** Promises on what callers are told. */
import type { Instant, Millis } from '@paddlewind/domain';
import { taskName } from '@paddlewind/domain/jobs';

import { CONTACT_MS } from './fault-times.js';
import {
  blamedAt,
  jobDoneAt,
  type Facts,
  type PromisedJob,
  type GuaranteeName,
  type ShownState,
  type ToldLength,
  type Violation,
} from './history-facts.js';

/** Time after which an accepted job has to be known everywhere, as the users' rules say. */
const VISIBLE_MS: Millis = 3_000;
/** How old the length of a queue may be. */
const LENGTH_AGE_MS: Millis = 2_000;
/** Share of the jobs that wait which the length of a queue has to count. */
const COUNTED_SHARE = 0.5;

/** Returns the broken promises on states and lengths. */
export function checkAnswers(facts: Facts): Violation[] {
  return [
    ...facts.shown.flatMap(shown => checkShown(facts, shown)),
    ...facts.lengths.flatMap(told => checkLength(facts, told)),
  ];
}

function checkShown(facts: Facts, shown: ShownState): Violation[] {
  const job = facts.jobs.get(shown.job);
  const broken = job && brokenBy(facts, shown, job);
  return broken === undefined
    ? []
    : [
        {
          guarantee: broken,
          task: shown.job,
          detail: `shown as ${shown.state} at ${shown.at}`,
        },
      ];
}

function brokenBy(
  facts: Facts,
  shown: ShownState,
  job: PromisedJob,
): GuaranteeName | undefined {
  switch (shown.state) {
    case 'completed':
      return jobDoneAt(facts, shown.job) > shown.at
        ? 'completed_when_done'
        : undefined;
    case 'failed':
      return Math.min(
        spentAt(facts, shown.job, job),
        blamedAt(facts, shown.job),
      ) > shown.at
        ? 'failed_when_spent'
        : undefined;
    case 'cancelled':
      return (job.cancelRequestedAt ?? job.cancelledAt) > shown.at
        ? 'cancelled_when_asked'
        : undefined;
    case 'no_such_job':
      return isDenied(facts, shown, job) ? 'known_once_accepted' : undefined;
    case 'queued':
    case 'running':
      return undefined;
  }
}

/** Returns when a task, or a gang, had failed as often as it may. */
function spentAt({ runs }: Facts, id: string, job: PromisedJob): Instant {
  const failures = new Map<string, Map<string, Instant>>();
  for (const { task, run, worker, how, endedAt } of runs) {
    const step = job.steps[task.step];
    if (task.job === id && how === 'failed' && step?.lasting !== true) {
      const gang = step?.gang === true;
      const whole = `${task.occurrence}.${task.step}`;
      const name = gang ? whole : taskName(task);
      const attempt = gang ? `${run}` : `${worker}/${run}`;
      const ends = failures.get(name) ?? new Map<string, Instant>();
      failures.set(name, ends);
      ends.set(attempt, Math.min(endedAt, ends.get(attempt) ?? Infinity));
    }
  }
  const spent = [...failures.values()].map(ends => {
    const sorted = [...ends.values()].sort((a, b) => a - b);
    return sorted[job.maxAttempts - 1] ?? Infinity;
  });
  return Math.min(Infinity, ...spent);
}

/** Returns the last crash under a job before it was shown as failed: it was not over sooner. */
function givenUpAt({ shown, runs }: Facts, id: string): Instant {
  const told = shown
    .filter(({ job, state }) => job === id && state === 'failed')
    .map(({ at }) => at);
  const toldAt = Math.min(Infinity, ...told);
  const crashes = runs
    .filter(({ task, crashed }) => task.job === id && crashed)
    .map(({ endedAt }) => endedAt)
    .filter(at => at <= toldAt);
  return toldAt === Infinity || crashes.length === 0
    ? Infinity
    : Math.max(...crashes);
}

function isDenied(
  facts: Facts,
  { askedAt, at, job: id }: ShownState,
  job: PromisedJob,
): boolean {
  const overAt = Math.min(
    jobDoneAt(facts, id),
    spentAt(facts, id, job),
    givenUpAt(facts, id),
  );
  const cancelAt = Math.min(job.cancelledAt, job.cancelRequestedAt ?? Infinity);
  return (
    askedAt > (job.acceptedAt ?? Infinity) + VISIBLE_MS &&
    at < overAt + facts.statusMs &&
    at < cancelAt
  );
}

function checkLength(facts: Facts, told: ToldLength): Violation[] {
  const { host, askedAt, at, length } = told;
  if (facts.faults?.isInTouch(host, askedAt - CONTACT_MS, at) !== true) {
    return [];
  }
  const waiting = [...facts.jobs]
    .filter(([id, job]) => waits(facts, id, job, told))
    .map(([id]) => id);
  return length < waiting.length * COUNTED_SHARE
    ? [
        {
          guarantee: 'length_counts',
          task: 'queue',
          detail: `${host} told ${length} at ${at}, waiting: ${waiting.join(', ')}`,
        },
      ]
    : [];
}

function waits(
  { runs }: Facts,
  id: string,
  job: PromisedJob,
  { askedAt, at }: ToldLength,
): boolean {
  const cancelAt = Math.min(job.cancelledAt, job.cancelRequestedAt ?? Infinity);
  return (
    (job.acceptedAt ?? Infinity) + VISIBLE_MS + LENGTH_AGE_MS < askedAt &&
    cancelAt > at &&
    !runs.some(({ task, beganAt }) => task.job === id && beganAt <= at)
  );
}
