/** The runs of one worker by kind, kept up to date: rounds and reports need them far more often than they change. */
import type { Run, Step } from './job.js';

/** Runs of a worker by kind, in the order in which they were opened. */
export interface RunViews {
  /** Best-effort fillers. */
  readonly fillers: readonly Run[];
  /** Runs of serving tasks, those with a tail latency target. */
  readonly serving: readonly Run[];
  /** The steps of the serving runs, each once. */
  readonly servingSteps: readonly Step[];
  /** Runs that don't end by themselves. */
  readonly lasting: readonly Run[];
  /** Changes with `lasting`. */
  readonly lastingChanges: number;
  /** Runs that end by themselves. */
  readonly batch: readonly Run[];
}

type Runs = ReadonlyMap<string, Run>;

class KeptViews implements RunViews {
  readonly fillers: Run[] = [];
  readonly serving: Run[] = [];
  readonly lasting: Run[] = [];
  readonly batch: Run[] = [];
  lastingChanges = 0;
  private steps: readonly Step[] | undefined;

  constructor(runs: Runs) {
    for (const run of runs.values()) {
      this.add(run);
    }
  }

  get servingSteps(): readonly Step[] {
    this.steps ??= [...new Set(this.serving.map(({ task }) => task.step))];
    return this.steps;
  }

  add(run: Run): void {
    for (const runs of this.kindsOf(run)) {
      runs.push(run);
    }
  }

  remove(run: Run): void {
    for (const runs of this.kindsOf(run)) {
      const at = runs.indexOf(run);
      if (at >= 0) {
        runs.splice(at, 1);
      }
    }
  }

  /** Returns the lists that a run is in or about to be in, all of which change. */
  private kindsOf({ task }: Run): Run[][] {
    const { filler, lasting, tailTargetMs } = task.step.spec;
    const kinds = [lasting ? this.lasting : this.batch];
    if (lasting) {
      this.lastingChanges += 1;
    }
    if (filler) {
      kinds.push(this.fillers);
    }
    if (tailTargetMs !== undefined) {
      this.steps = undefined;
      kinds.push(this.serving);
    }
    return kinds;
  }
}

const viewsByRuns = new WeakMap<Runs, KeptViews>();

/** Returns the views of a worker's runs. They change with the runs, so keep none of them. */
export function runViewsOf(runs: Runs): RunViews {
  const cached = viewsByRuns.get(runs);
  if (cached !== undefined) {
    return cached;
  }
  const views = new KeptViews(runs);
  viewsByRuns.set(runs, views);
  return views;
}

/** Notes that a run was added to those of a worker. */
export function noteRunAdded(runs: Runs, run: Run): void {
  viewsByRuns.get(runs)?.add(run);
}

/** Notes that a run was removed from those of a worker. */
export function noteRunRemoved(runs: Runs, run: Run): void {
  viewsByRuns.get(runs)?.remove(run);
}
