/** Which workers may be trusted with runs, judged by how runs end there and not by what they say. */
import type { Instant, Millis } from '../core/time.js';
import type { Run, Task } from './job.js';

/** How many runs a worker may be given. */
export type Trust = 'full' | 'one_run' | 'none';

/** Rest after the first bad end in a row: some 2 % of runs fail by their own fault. */
const FIRST_REST_MS: Millis = 400;
/** Rest after the second bad end in a row, doubled with each further one. */
const REST_MS: Millis = 1_500;
const MAX_REST_MS: Millis = 4_000;
/** Bad ends that a run without progress counts for. */
const STALL_WEIGHT = 2;

/** A run is taken to stand still after this long without progress. */
const STALL_MS: Millis = 1_800;
/** Share of its speed below which a run that is throttled is not judged. */
const JUDGED_ABOVE_PERCENT = 50;

interface Record {
  /** Bad ends since the last good one. */
  bad: number;
  restsUntil: Instant;
}

/** Judges workers. */
export class WorkerHealth {
  private readonly records = new Map<string, Record>();

  /** A run was done: the worker is sound. */
  noteDone(worker: string): void {
    this.records.delete(worker);
  }

  /** A run failed, by the fault of the worker or of its task. */
  noteFailure(worker: string, task: Task, now: Instant): void {
    if (failedElsewhere(task, worker)) {
      return;
    }
    this.addBad(worker, 1, now);
  }

  /** A run stood still. */
  noteStall(worker: string, now: Instant): void {
    this.addBad(worker, STALL_WEIGHT, now);
  }

  /** Tells how many runs a worker may be given. */
  trustIn(worker: string, now: Instant): Trust {
    const record = this.records.get(worker);
    if (record === undefined) {
      return 'full';
    }
    return record.restsUntil > now ? 'none' : 'one_run';
  }

  private addBad(worker: string, weight: number, now: Instant): void {
    const bad = (this.records.get(worker)?.bad ?? 0) + weight;
    const rest =
      bad === 1
        ? FIRST_REST_MS
        : Math.min(MAX_REST_MS, REST_MS * 2 ** (bad - 2));
    this.records.set(worker, { bad, restsUntil: now + rest });
  }
}

/** Tells whether a run has stood still for so long that it should run elsewhere. */
export function isStalled(run: Run, now: Instant): boolean {
  const { progress, task } = run;
  const { spec } = task.step;
  if (progress === undefined || spec.lasting || spec.gang) {
    return false;
  }
  return (
    progress.confirmed &&
    !progress.stopping &&
    (progress.allowedPercent ?? 0) >= JUDGED_ABOVE_PERCENT &&
    progress.percent < 100 &&
    progress.seenAt - progress.percentSince > STALL_MS &&
    now - progress.allowedSince > STALL_MS
  );
}

function failedElsewhere(task: Task, worker: string): boolean {
  return [...task.failedOn].some(other => other !== worker);
}
