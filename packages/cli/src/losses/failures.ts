/** Counts the jobs that have failed, and how the workers were lost that counted against them. */
import { readFailedJobs, type FailedJob } from '../failed-jobs.js';
import type { LogLine } from '../log-lines.js';

/** Jobs that have failed for one reason. */
export interface FailureLosses {
  readonly reason: string;
  readonly jobs: number;
  /** Number of counted losses by how the worker was judged to be lost. */
  readonly lossKinds: Readonly<Record<string, number>>;
}

/** Kind of a loss that the leader which failed the job has not judged itself. */
const KIND_NOT_KNOWN = 'judged by another leader';

/** Counts the failed jobs of these lines by reason; of several leaders' lines on one job the last counts. */
export function sumFailures(lines: readonly LogLine[]): FailureLosses[] {
  const last = new Map(readFailedJobs(lines).map(found => [found.job, found]));
  const jobs = [...last.values()];
  const reasons = [...new Set(jobs.map(({ reason }) => reason))].sort();
  return reasons.map(reason => {
    const own = jobs.filter(found => found.reason === reason);
    return { reason, jobs: own.length, lossKinds: countKinds(own) };
  });
}

function countKinds(jobs: readonly FailedJob[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { lossKind } of jobs.flatMap(({ losses }) => losses)) {
    const kind = lossKind === '' ? KIND_NOT_KNOWN : lossKind;
    counts[kind] = (counts[kind] ?? 0) + 1;
  }
  return counts;
}
