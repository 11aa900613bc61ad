/** What a leader remembers of failed and lost runs for its log; it decides nothing by it. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  JobsState,
  Run,
  Task,
  WorkerLossKind,
} from '@paddlewind/domain/jobs';

import type { WorkerPresence } from './fleet.js';
import type { AbandonedWorkerReason } from './meters.js';

/** Time within which other losses of workers are counted. */
export const LOST_TOGETHER_MS: Millis = 10_000;

/** Maximum number of failed or lost runs that are remembered of a task. */
const MAX_KEPT_RUNS = 20;

/** How a worker was judged to be lost, and what else was wrong at that moment. */
export interface LossCircumstances {
  readonly lossKind: WorkerLossKind;
  readonly reason: AbandonedWorkerReason;
  readonly presence: WorkerPresence;
  /** Number of workers that do not answer. */
  readonly silentWorkers: number;
  /** Number of other workers that were lost in the last `LOST_TOGETHER_MS`. */
  readonly othersLost: number;
}

/** A run that its worker listed as failed. */
export interface FailedRun {
  readonly run: number;
  readonly worker: string;
  /** Monotonic time at which the leader recorded its end. */
  readonly at: Instant;
}

/** Runs of one task that have failed or were lost under this leader. */
interface TaskFailures {
  readonly failed: FailedRun[];
  /** Circumstances of lost runs, by number of the run. */
  readonly lost: Map<number, LossCircumstances>;
}

/** Failed and lost runs, and lost workers, of one leader. */
export class RunFailures {
  private readonly byTask = new WeakMap<Task, TaskFailures>();
  /** Monotonic times at which this leader abandoned workers, by worker. */
  private readonly lostWorkers = new Map<string, Instant>();

  /** Creates the memory of a leader that has lost nothing. */
  constructor(private readonly state: JobsState) {}

  /** Notes that a worker was lost together with its runs. */
  noteWorkerLost(worker: string, now: Instant): void {
    for (const [lost, at] of this.lostWorkers) {
      if (now - at >= LOST_TOGETHER_MS) {
        this.lostWorkers.delete(lost);
      }
    }
    this.lostWorkers.set(worker, now);
  }

  /** Returns how many workers except these were lost in the last `LOST_TOGETHER_MS`, under any leader. */
  countLost(except: readonly string[], now: Instant): number {
    const known = [...this.state.workerLosses, ...this.lostWorkers];
    const recent = known.filter(([, at]) => now - at < LOST_TOGETHER_MS);
    const workers = new Set(recent.map(([worker]) => worker));
    except.forEach(worker => workers.delete(worker));
    return workers.size;
  }

  /** Notes how the worker of a run was lost. */
  noteRunLost({ task, number }: Run, circumstances: LossCircumstances): void {
    const { lost } = this.failuresOf(task);
    lost.set(number, circumstances);
    const [first] = lost.keys();
    if (lost.size > MAX_KEPT_RUNS && first !== undefined) {
      lost.delete(first);
    }
  }

  /** Notes that a run has failed. */
  noteRunFailed({ task, number: run, worker }: Run, at: Instant): void {
    const { failed } = this.failuresOf(task);
    failed.push({ run, worker, at });
    failed.splice(0, failed.length - MAX_KEPT_RUNS);
  }

  /** Returns how the worker of a run was lost; undefined if that was not under this leader. */
  circumstancesOf(task: Task, run: number): LossCircumstances | undefined {
    return this.byTask.get(task)?.lost.get(run);
  }

  /** Returns the runs of a task that have failed under this leader. */
  failedRunsOf(task: Task): readonly FailedRun[] {
    return this.byTask.get(task)?.failed ?? [];
  }

  private failuresOf(task: Task): TaskFailures {
    const known = this.byTask.get(task);
    if (known !== undefined) {
      return known;
    }
    const created = { failed: [], lost: new Map() };
    this.byTask.set(task, created);
    return created;
  }
}
