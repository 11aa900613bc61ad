/** Sums where the time of jobs went, by queue and by the time at which they were asked for. */
import { sizeGroupsOf, type SizeGroup } from '@paddlewind/domain/jobs';

import { readLogLines, type LogLine } from '../log-lines.js';
import { readJobs, type LoggedJob } from './job-runs.js';
import { spansOf, type PhaseName, type ReasonAt } from './phases.js';

/** What became of a queue's jobs, and where the time of those went that were not in time. */
export interface QueueLosses {
  readonly queue: string;
  readonly jobs: number;
  readonly inTime: number;
  readonly late: number;
  readonly unfinished: number;
  readonly cancelled: number;
  /** What became of its jobs by size, the largest first; empty where no line tells their sizes. */
  readonly sizes: readonly SizeLosses[];
  /** Seconds by phase of the jobs that were late or are unfinished, the largest first. */
  readonly phases: readonly Phase[];
}

/** What became of the jobs of one size. */
export interface SizeLosses {
  readonly size: SizeGroup;
  /** Those that were asked for and not cancelled; the other figures are of these. */
  readonly asked: number;
  readonly inTime: number;
  readonly late: number;
  readonly unfinished: number;
  /** Refused, or with an outcome that was never known. */
  readonly notAccepted: number;
}

/** Seconds of one phase. */
export interface Phase {
  readonly phase: PhaseName;
  readonly seconds: number;
}

/** Jobs asked for within two seconds. */
export interface WindowLosses {
  /** Seconds since the first line. */
  readonly second: number;
  readonly jobs: number;
  readonly inTime: number;
  /** The phase that took the most of the time of jobs that were not in time; empty where all were. */
  readonly largest: PhaseName | '';
}

/** Where the time went. */
export interface Losses {
  readonly queues: readonly QueueLosses[];
  readonly windows: readonly WindowLosses[];
  /** Numbers of the lines that are no line of a host. */
  readonly unread: readonly number[];
}

const WINDOW_S = 2;
const MS_PER_S = 1_000;
/** A leader accounts once a second; a wait with no account for longer has no leader. */
const ACCOUNT_REACH_MS = 2_500;

/** Reads where the time of jobs went from the logs of all hosts. */
export function readLosses(texts: readonly string[]): Losses {
  const { lines, unread } = readLogLines(texts);
  const first = Date.parse(lines[0]?.time ?? '');
  const last = Date.parse(lines.at(-1)?.time ?? '');
  const reasonAt = reasonsOf(lines);
  const asked = readJobs(lines).map(job => ({
    job,
    outcome: outcomeOf(job),
    spans: job.acceptedAt < Infinity ? spansOf(job, reasonAt, last) : [],
  }));
  const rated = asked.filter(({ job }) => job.acceptedAt < Infinity);
  return {
    queues: sumQueues(rated, asked),
    windows: sumWindows(rated, first),
    unread,
  };
}

type Outcome = 'in_time' | 'late' | 'unfinished' | 'cancelled' | 'not_accepted';

interface RatedJob {
  readonly job: LoggedJob;
  readonly outcome: Outcome;
  readonly spans: ReturnType<typeof spansOf>;
}

function outcomeOf({ status, ...job }: LoggedJob): Outcome {
  if (status === 'cancelled') {
    return 'cancelled';
  }
  if (job.acceptedAt === Infinity) {
    return 'not_accepted';
  }
  if (job.overAt === Infinity) {
    return 'unfinished';
  }
  return job.overAt - job.askedAt <= job.objectiveMs ? 'in_time' : 'late';
}

function sumQueues(
  rated: readonly RatedJob[],
  asked: readonly RatedJob[],
): QueueLosses[] {
  const queues = [...new Set(rated.map(({ job }) => job.queue))].sort();
  return queues.map(queue => {
    const own = rated.filter(({ job }) => job.queue === queue);
    return {
      queue,
      jobs: own.length,
      inTime: countOf(own, 'in_time'),
      late: countOf(own, 'late'),
      unfinished: countOf(own, 'unfinished'),
      cancelled: countOf(own, 'cancelled'),
      sizes: sumSizes(asked.filter(({ job }) => job.queue === queue)),
      phases: sumPhases(own),
    };
  });
}

function countOf(rated: readonly RatedJob[], outcome: Outcome): number {
  return rated.filter(each => each.outcome === outcome).length;
}

function sumSizes(asked: readonly RatedJob[]): SizeLosses[] {
  const known = asked
    .filter(({ outcome }) => outcome !== 'cancelled')
    .filter(({ job }) => job.coreMs !== undefined);
  return sizeGroupsOf(known, ({ job }) => job.coreMs ?? 0).map(
    ([size, own]) => ({
      size,
      asked: own.length,
      inTime: countOf(own, 'in_time'),
      late: countOf(own, 'late'),
      unfinished: countOf(own, 'unfinished'),
      notAccepted: countOf(own, 'not_accepted'),
    }),
  );
}

function sumWindows(rated: readonly RatedJob[], first: number): WindowLosses[] {
  const windows = new Map<number, RatedJob[]>();
  for (const each of rated) {
    const second = (each.job.askedAt - first) / MS_PER_S;
    const window = Math.floor(second / WINDOW_S) * WINDOW_S;
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

function sumPhases(rated: readonly RatedJob[]): Phase[] {
  const sums = new Map<PhaseName, number>();
  for (const { outcome, spans } of rated) {
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

/** The reason for which most tasks of a queue waited, from the accounts of leaders. */
function reasonsOf(lines: readonly LogLine[]): ReasonAt {
  const accounts = lines
    .filter(({ msg }) => msg === 'leader: the fleet')
    .map(({ time, fields }) => ({
      at: Date.parse(time),
      waiting: (fields.waiting ?? {}) as Record<string, Record<string, number>>,
    }));
  return (queue, at) => {
    const near = accounts.findLast(
      account => account.at <= at && at - account.at < ACCOUNT_REACH_MS,
    );
    if (near === undefined) {
      return 'leader absent';
    }
    const [most] = Object.entries(near.waiting[queue] ?? {}).sort(
      ([, a], [, b]) => b - a,
    );
    return `waiting: ${most?.[0] ?? 'turn'}`;
  };
}
