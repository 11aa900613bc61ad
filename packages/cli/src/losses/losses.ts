/** Sums the time of jobs by phase, for each queue and each window of submission times. */
import { sizeGroupsOf, type SizeGroup } from '@paddlewind/domain/jobs';

import { readLogLines, type LogLine } from '../log-lines.js';
import { sumFailures, type FailureLosses } from './failures.js';
import { readJobs, type LoggedJob } from './job-runs.js';
import { spansOf, type PhaseName, type WaitReasonsAt } from './phases.js';

/** Outcomes of a queue's jobs, and the phases in which late and unfinished jobs spent their time. */
export interface QueueLosses {
  readonly queue: string;
  readonly jobs: number;
  readonly inTime: number;
  readonly late: number;
  readonly unfinished: number;
  readonly cancelled: number;
  /** Outcomes by job size, largest first; empty if the logs contain no sizes. */
  readonly sizes: readonly SizeLosses[];
  /** Seconds by phase of late and unfinished jobs, largest first. */
  readonly phases: readonly Phase[];
}

/** Outcomes of the jobs in one size group. */
export interface SizeLosses {
  readonly size: SizeGroup;
  /** Jobs submitted and not cancelled; the other counts are subsets of these. */
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly unfinished: number;
  /** Refused, or submitted with an unknown outcome. */
  readonly notAccepted: number;
}

/** Time spent in one phase. */
export interface Phase {
  readonly phase: PhaseName;
  readonly seconds: number;
}

/** Outcomes of the jobs submitted within one window of two seconds. */
export interface WindowLosses {
  /** Start of the window in seconds since the first line. */
  readonly second: number;
  readonly jobs: number;
  readonly inTime: number;
  /** The phase in which late and unfinished jobs spent the most time; empty if there are none. */
  readonly largest: PhaseName | '';
}

/** Breakdown of job time by queue and by window. */
export interface Losses {
  readonly queues: readonly QueueLosses[];
  readonly windows: readonly WindowLosses[];
  /** Jobs that have failed, by reason; empty if no leader has logged one. */
  readonly failures: readonly FailureLosses[];
  /** Numbers of the non-empty lines that could not be parsed. */
  readonly unread: readonly number[];
}

const WINDOW_SECONDS = 2;
const MS_PER_S = 1_000;
/** Leaders log a fleet account every second; after this long without one, the leader counts as absent. */
const ACCOUNT_MAX_AGE_MS = 2_500;

/** Breaks down the time of jobs from the logs of all hosts. */
export function readLosses(texts: readonly string[]): Losses {
  const { lines, unread } = readLogLines(texts);
  const first = Date.parse(lines[0]?.time ?? '');
  const last = Date.parse(lines.at(-1)?.time ?? '');
  const reasonsAt = waitReasons(lines);
  const submitted = readJobs(lines).map(job => ({
    job,
    outcome: classifyJob(job),
    spans: job.acceptedAt < Infinity ? spansOf(job, reasonsAt, last) : [],
  }));
  const accepted = submitted.filter(({ job }) => job.acceptedAt < Infinity);
  return {
    queues: sumQueues(accepted, submitted),
    windows: sumWindows(accepted, first),
    failures: sumFailures(lines),
    unread,
  };
}

type Outcome = 'in_time' | 'late' | 'unfinished' | 'cancelled' | 'not_accepted';

interface ClassifiedJob {
  readonly job: LoggedJob;
  readonly outcome: Outcome;
  readonly spans: ReturnType<typeof spansOf>;
}

function classifyJob({ status, ...job }: LoggedJob): Outcome {
  if (status === 'cancelled') {
    return 'cancelled';
  }
  if (job.acceptedAt === Infinity) {
    return 'not_accepted';
  }
  if (job.finishedAt === Infinity) {
    return 'unfinished';
  }
  return job.finishedAt - job.submittedAt <= job.objectiveMs
    ? 'in_time'
    : 'late';
}

function sumQueues(
  accepted: readonly ClassifiedJob[],
  submitted: readonly ClassifiedJob[],
): QueueLosses[] {
  const queues = [...new Set(accepted.map(({ job }) => job.queue))].sort();
  return queues.map(queue => {
    const own = accepted.filter(({ job }) => job.queue === queue);
    return {
      queue,
      jobs: own.length,
      inTime: countOutcome(own, 'in_time'),
      late: countOutcome(own, 'late'),
      unfinished: countOutcome(own, 'unfinished'),
      cancelled: countOutcome(own, 'cancelled'),
      sizes: sumSizes(submitted.filter(({ job }) => job.queue === queue)),
      phases: sumPhases(own),
    };
  });
}

function countOutcome(
  jobs: readonly ClassifiedJob[],
  outcome: Outcome,
): number {
  return jobs.filter(each => each.outcome === outcome).length;
}

function sumSizes(submitted: readonly ClassifiedJob[]): SizeLosses[] {
  const withSize = submitted
    .filter(({ outcome }) => outcome !== 'cancelled')
    .filter(({ job }) => job.coreMs !== undefined);
  return sizeGroupsOf(withSize, ({ job }) => job.coreMs ?? 0).map(
    ([size, own]) => ({
      size,
      asked: own.length,
      inTime: countOutcome(own, 'in_time'),
      late: countOutcome(own, 'late'),
      unfinished: countOutcome(own, 'unfinished'),
      notAccepted: countOutcome(own, 'not_accepted'),
    }),
  );
}

function sumWindows(
  jobs: readonly ClassifiedJob[],
  first: number,
): WindowLosses[] {
  const windows = new Map<number, ClassifiedJob[]>();
  for (const each of jobs) {
    const second = (each.job.submittedAt - first) / MS_PER_S;
    const window = Math.floor(second / WINDOW_SECONDS) * WINDOW_SECONDS;
    windows.set(window, [...(windows.get(window) ?? []), each]);
  }
  return [...windows]
    .sort(([a], [b]) => a - b)
    .map(([second, own]) => ({
      second,
      jobs: own.length,
      inTime: own.filter(({ outcome }) => outcome === 'in_time').length,
      largest: sumPhases(own)[0]?.phase ?? '',
    }));
}

function sumPhases(jobs: readonly ClassifiedJob[]): Phase[] {
  const sums = new Map<PhaseName, number>();
  for (const { outcome, spans } of jobs) {
    if (outcome === 'late' || outcome === 'unfinished') {
      for (const { phase, from, to } of spans) {
        sums.set(phase, (sums.get(phase) ?? 0) + (to - from) / MS_PER_S);
      }
    }
  }
  return [...sums]
    .map(([phase, seconds]) => ({ phase, seconds }))
    .sort((a, b) => b.seconds - a.seconds);
}

/** Returns a lookup of the reasons why tasks of a queue waited, from the leaders' fleet accounts. */
function waitReasons(lines: readonly LogLine[]): WaitReasonsAt {
  const accounts = lines
    .filter(({ msg }) => msg === 'leader: the fleet')
    .map(({ time, fields }) => ({
      at: Date.parse(time),
      waiting: (fields.waiting ?? {}) as Record<string, Record<string, number>>,
    }));
  return (queue, at) => {
    const recent = accounts.findLast(
      account => account.at <= at && at - account.at < ACCOUNT_MAX_AGE_MS,
    );
    if (recent === undefined) {
      return [['leader absent', 1]];
    }
    const counts = Object.entries(recent.waiting[queue] ?? {});
    const total = counts.reduce((sum, [, tasks]) => sum + tasks, 0);
    return total === 0
      ? [['waiting: not accounted', 1]]
      : counts.map(([reason, tasks]) => [`waiting: ${reason}`, tasks / total]);
  };
}
