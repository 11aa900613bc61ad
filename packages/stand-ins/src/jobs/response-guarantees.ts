/** Checks the guarantees on job states and queue lengths that are reported to callers. */
import type { Instant, Millis } from '@paddlewind/domain';
import { taskName } from '@paddlewind/domain/jobs';

import { RECOVERY_MS } from './fault-times.js';
import {
  abandonableAt,
  jobDoneAt,
  type GuaranteeName,
  type HistoryFacts,
  type QueueLengthReport,
  type StatusReport,
  type SubmittedJob,
  type Violation,
} from './history-facts.js';

/** Time after which every host has to know an accepted job, by the specification. */
const VISIBLE_MS: Millis = 3_000;
/** Maximum age of a reported queue length. */
const MAX_LENGTH_AGE_MS: Millis = 2_000;
/** Minimum fraction of the waiting jobs that a reported queue length has to count. */
const MIN_COUNTED_SHARE = 0.5;

/** Returns the violations in reported job states and queue lengths. */
export function checkResponses(facts: HistoryFacts): Violation[] {
  return [
    ...facts.statusReports.flatMap(report => checkStatus(facts, report)),
    ...facts.queueLengthReports.flatMap(report =>
      checkQueueLength(facts, report),
    ),
  ];
}

function checkStatus(facts: HistoryFacts, report: StatusReport): Violation[] {
  const job = facts.jobs.get(report.job);
  const guarantee = job && violatedGuarantee(facts, report, job);
  return guarantee === undefined
    ? []
    : [
        {
          guarantee,
          task: report.job,
          detail: `shown as ${report.state} at ${report.at}`,
        },
      ];
}

function violatedGuarantee(
  facts: HistoryFacts,
  report: StatusReport,
  job: SubmittedJob,
): GuaranteeName | undefined {
  switch (report.state) {
    case 'completed':
      return jobDoneAt(facts, report.job) > report.at
        ? 'completed_when_done'
        : undefined;
    case 'failed':
      return Math.min(
        attemptsSpentAt(facts, report.job, job),
        abandonableAt(facts, report.job),
      ) > report.at
        ? 'failed_when_spent'
        : undefined;
    case 'cancelled':
      return (job.cancelRequestedAt ?? job.cancelledAt) > report.at
        ? 'cancelled_when_asked'
        : undefined;
    case 'no_such_job':
      return isWronglyUnknown(facts, report, job)
        ? 'known_once_accepted'
        : undefined;
    case 'queued':
    case 'running':
      return undefined;
  }
}

/** Returns when a task or a gang of the job had used up its attempts. */
function attemptsSpentAt(
  { runs }: HistoryFacts,
  id: string,
  job: SubmittedJob,
): Instant {
  const failures = new Map<string, Map<string, Instant>>();
  for (const { task, run, worker, how, endedAt } of runs) {
    const step = job.steps[task.step];
    if (task.job === id && how === 'failed' && step?.lasting !== true) {
      const gang = step?.gang === true;
      const gangName = `${task.occurrence}.${task.step}`;
      const name = gang ? gangName : taskName(task);
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

/** Returns the last worker crash by a job before it was reported as failed; it can't have ended earlier. */
function abandonedAt(
  { statusReports, runs }: HistoryFacts,
  id: string,
): Instant {
  const reports = statusReports
    .filter(({ job, state }) => job === id && state === 'failed')
    .map(({ at }) => at);
  const reportedAt = Math.min(Infinity, ...reports);
  const crashes = runs
    .filter(({ task, crashedWorker }) => task.job === id && crashedWorker)
    .map(({ endedAt }) => endedAt)
    .filter(at => at <= reportedAt);
  return reportedAt === Infinity || crashes.length === 0
    ? Infinity
    : Math.max(...crashes);
}

function isWronglyUnknown(
  facts: HistoryFacts,
  { requestedAt, at, job: id }: StatusReport,
  job: SubmittedJob,
): boolean {
  const finishedAt = Math.min(
    jobDoneAt(facts, id),
    attemptsSpentAt(facts, id, job),
    abandonedAt(facts, id),
  );
  const cancelAt = Math.min(job.cancelledAt, job.cancelRequestedAt ?? Infinity);
  return (
    requestedAt > (job.acceptedAt ?? Infinity) + VISIBLE_MS &&
    at < finishedAt + facts.statusMs &&
    at < cancelAt
  );
}

function checkQueueLength(
  facts: HistoryFacts,
  report: QueueLengthReport,
): Violation[] {
  const { host, requestedAt, at, length } = report;
  if (
    facts.faults?.isHostFaultFree(host, requestedAt - RECOVERY_MS, at) !== true
  ) {
    return [];
  }
  const waiting = [...facts.jobs]
    .filter(([id, job]) => isWaiting(facts, id, job, report))
    .map(([id]) => id);
  return length < waiting.length * MIN_COUNTED_SHARE
    ? [
        {
          guarantee: 'length_counts',
          task: 'queue',
          detail: `${host} reported ${length} at ${at}, waiting: ${waiting.join(', ')}`,
        },
      ]
    : [];
}

function isWaiting(
  { runs }: HistoryFacts,
  id: string,
  job: SubmittedJob,
  { requestedAt, at }: QueueLengthReport,
): boolean {
  const cancelAt = Math.min(job.cancelledAt, job.cancelRequestedAt ?? Infinity);
  return (
    (job.acceptedAt ?? Infinity) + VISIBLE_MS + MAX_LENGTH_AGE_MS <
      requestedAt &&
    cancelAt > at &&
    !runs.some(({ task, startedAt }) => task.job === id && startedAt <= at)
  );
}
