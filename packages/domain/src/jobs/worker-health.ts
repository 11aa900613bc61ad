/** Decides which workers are trusted with runs, by how runs end there rather than by what workers report. */
import type { Instant, Millis } from '../core/time.js';
import type { Run, Task } from './job.js';

/** How many runs a worker may be given. */
export type Trust = 'full' | 'one_run' | 'none';

/** Pause after the first of consecutive failures: about 2 % of runs fail because of their task. */
const FIRST_PAUSE_MS: Millis = 400;
/** Pause after the second consecutive failure; doubled after each further one. */
const SECOND_PAUSE_MS: Millis = 1_500;
const MAX_PAUSE_MS: Millis = 4_000;
/** Number of failures that a stalled run counts as. */
const STALL_WEIGHT = 2;

/** Time without progress after which a run counts as stalled. */
const STALL_TIMEOUT_MS: Millis = 1_800;
/** Speed limit in percent below which a throttled run does not count as stalled. */
const MIN_JUDGED_SPEED_PERCENT = 50;

interface FailureRecord {
  /** Failures since the last successful run. */
  failures: number;
  pausedUntil: Instant;
}

/** Tracks failures of runs by worker. */
export class WorkerHealth {
  private readonly records = new Map<string, FailureRecord>();

  /** Notes that a run was done: the worker is healthy. */
  noteDone(worker: string): void {
    this.records.delete(worker);
  }

  /** Notes that a run failed, which counts against the worker unless the task also failed elsewhere. */
  noteFailure(worker: string, task: Task, now: Instant): void {
    if (failedElsewhere(task, worker)) {
      return;
    }
    this.addFailures(worker, 1, now);
  }

  /** Notes that a run stalled. */
  noteStall(worker: string, now: Instant): void {
    this.addFailures(worker, STALL_WEIGHT, now);
  }

  /** Returns how many runs a worker may be given. */
  trustIn(worker: string, now: Instant): Trust {
    const record = this.records.get(worker);
    if (record === undefined) {
      return 'full';
    }
    return record.pausedUntil > now ? 'none' : 'one_run';
  }

  private addFailures(worker: string, weight: number, now: Instant): void {
    const failures = (this.records.get(worker)?.failures ?? 0) + weight;
    const pauseMs =
      failures === 1
        ? FIRST_PAUSE_MS
        : Math.min(MAX_PAUSE_MS, SECOND_PAUSE_MS * 2 ** (failures - 2));
    this.records.set(worker, { failures, pausedUntil: now + pauseMs });
  }
}

/** Tells whether a run has stalled for so long that it should run elsewhere. */
export function isStalled(run: Run, now: Instant): boolean {
  const { progress, task } = run;
  const { spec } = task.step;
  if (progress === undefined || spec.lasting || spec.gang) {
    return false;
  }
  return (
    progress.confirmed &&
    !progress.stopping &&
    (progress.allowedPercent ?? 0) >= MIN_JUDGED_SPEED_PERCENT &&
    progress.percent < 100 &&
    progress.seenAt - progress.percentSince > STALL_TIMEOUT_MS &&
    now - progress.allowedSince > STALL_TIMEOUT_MS
  );
}

function failedElsewhere(task: Task, worker: string): boolean {
  return [...task.failedOn].some(other => other !== worker);
}
