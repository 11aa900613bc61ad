/** Summary of a run, with all that the logs say about each job that was shown as failed without a cause. */
import type { LostRun } from './evidence.js';
import type { RunReport } from './run.js';

/** Summary of one run, printed as a line of JSON. */
export interface RunSummary {
  readonly arm: string;
  readonly seed: number;
  readonly jobs: number;
  readonly crashedWorkers: number;
  readonly leaders: number;
  readonly failed: number;
  readonly unfounded: readonly object[];
  /** Number of lost runs by suspicion, reason and whether the worker had crashed. */
  readonly lost: Readonly<Record<string, number>>;
  /** Means over all lost runs: the probability of a loss that leaders told, and the share of workers that crashed. */
  readonly noise: { readonly told: number; readonly crashShare: number };
  /** Number of tasks that were given up. */
  readonly givenUp: number;
  readonly unsent: Readonly<Record<string, number>>;
  readonly overcounted: readonly string[];
  readonly violations: readonly string[];
}

/** Summarizes a run. */
export function summarize(report: RunReport): RunSummary {
  const { evidence } = report;
  return {
    arm: report.arm,
    seed: report.seed,
    jobs: report.jobs,
    crashedWorkers: report.crashedWorkers,
    leaders: evidence.leaders,
    failed: report.failed.length,
    unfounded: report.unfounded.map(job => ({
      ...job,
      givenUp: evidence.givenUp.filter(({ task }) => isOf(task, job.id)),
      lost: lossesOfGivenUp(report, job.id),
    })),
    lost: countLosses(evidence.lost),
    noise: {
      told: mean(evidence.lost.map(({ noise }) => noise)),
      crashShare: mean(evidence.lost.map(({ crashShare }) => crashShare)),
    },
    givenUp: evidence.givenUp.length,
    unsent: evidence.unsent,
    overcounted: report.overcounted,
    violations: report.violations,
  };
}

/** Returns the lost runs of the job's tasks that were given up, or of all its tasks if none was. */
function lossesOfGivenUp({ evidence }: RunReport, id: string): LostRun[] {
  const ofJob = evidence.lost.filter(
    ({ task, superseded }) => isOf(task, id) && !superseded,
  );
  const tasks = new Set(evidence.givenUp.map(({ task }) => task));
  const ofTasks = ofJob.filter(({ task }) => tasks.has(task));
  return ofTasks.length > 0 ? ofTasks : ofJob;
}

function isOf(task: string, job: string): boolean {
  return task.startsWith(`${job}.`);
}

function countLosses(lost: readonly LostRun[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { suspicion, reason, crash } of lost) {
    const state = crash === 'alive' ? 'alive' : 'crashed';
    const key = `${state} ${reason} ${suspicion}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

function mean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return Number((sum / Math.max(1, values.length)).toFixed(4));
}
