/** The runs of one worker by kind, kept until its runs change: rounds and reports need them far more often. */
import type { Run } from './job.js';

/** Runs of a worker by kind. */
export interface RunViews {
  /** Number of all runs. */
  readonly count: number;
  /** Best-effort fillers. */
  readonly fillers: readonly Run[];
  /** Runs of serving tasks, those with a tail latency target. */
  readonly serving: readonly Run[];
  /** Runs that don't end by themselves. */
  readonly lasting: readonly Run[];
  /** Runs that end by themselves. */
  readonly batch: readonly Run[];
}

type Runs = ReadonlyMap<string, Run>;

const viewsByRuns = new WeakMap<Runs, RunViews>();

/** Returns the views of a worker's runs. */
export function runViewsOf(runs: Runs): RunViews {
  const cached = viewsByRuns.get(runs);
  if (cached?.count === runs.size) {
    return cached;
  }
  const fillers: Run[] = [];
  const serving: Run[] = [];
  const lasting: Run[] = [];
  const batch: Run[] = [];
  for (const run of runs.values()) {
    const { spec } = run.task.step;
    if (spec.filler) {
      fillers.push(run);
    }
    if (spec.tailTargetMs !== undefined) {
      serving.push(run);
    }
    (spec.lasting ? lasting : batch).push(run);
  }
  const views = { count: runs.size, fillers, serving, lasting, batch };
  viewsByRuns.set(runs, views);
  return views;
}

/** Notes that runs were added or removed. */
export function noteRunsChanged(runs: Runs): void {
  viewsByRuns.delete(runs);
}
