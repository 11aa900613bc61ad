/**
 * Keeps tasks apart that are suspected to bring their workers down. Such a task runs where nothing else
 * has just begun, and nothing begins beside it until it has settled: the next loss takes few others along
 * and tells which task it was. Where no worker is free of others, one is kept for it until it is.
 */
import type { Instant, Millis } from '../core/time.js';
import { suspicionPercent, isSuspect } from './suspect-tasks.js';
import { isFinished, type Step, type Task } from './job.js';
import type { JobsState } from './jobs-state.js';
import { isSettled } from './loss-attribution.js';

/** What a quarantine goes by. */
export interface QuarantineInput {
  readonly state: JobsState;
  readonly now: Instant;
  /** Monotonic time at which this leader took over. */
  readonly leadsSince: Instant;
}

/**
 * Time after which a suspected task no longer waits for a worker of its own: users allow 3 s in which
 * nothing of a job runs while there is room for it.
 */
const PATIENCE_MS: Millis = 2_000;

/** Part of the workers that may be kept free for suspected tasks. */
const KEPT_SHARE = 1 / 8;
/** Most workers that are kept free: each is looked for among all. */
const MOST_KEPT = 16;

/** Where suspected tasks may run in one round, and where others may not. */
export class Quarantine {
  /** Suspected tasks that wait for a worker, the longest first. */
  readonly waiting: readonly Task[];
  /** Workers on which a suspected task has not settled, with its step. */
  private readonly occupied = new Map<string, Step>();
  /** Workers that are kept for suspected tasks. */
  private readonly kept = new Set<string>();
  /** Number of runs that have not settled, by worker, as far as it was asked for. */
  private readonly unsettled = new Map<string, number>();

  /** Finds suspected tasks and where they run. */
  constructor(private readonly input: QuarantineInput) {
    const { suspects } = input.state;
    const waiting: Task[] = [];
    for (const task of suspects) {
      if (
        suspicionPercent(task) === 0 ||
        isFinished(task.step.occurrence.job)
      ) {
        suspects.delete(task);
      } else if (isSuspect(task)) {
        waiting.push(...(task.status === 'waiting' ? [task] : []));
        for (const run of task.runs.filter(open => !this.isSettled(open))) {
          this.occupied.set(run.worker, task.step);
        }
      }
    }
    this.waiting = waiting.sort((a, b) => a.blame.since - b.blame.since);
  }

  /** Whether a worker may be given a task. */
  admits(worker: string, task: Task): boolean {
    const occupant = this.occupied.get(worker);
    if (occupant !== undefined) {
      // Members of a gang can't wait for each other.
      return occupant.spec.gang && occupant === task.step;
    }
    return isSuspect(task)
      ? this.hasIsolationWaitExpired(task) || this.unsettledAt(worker) === 0
      : !this.kept.has(worker);
  }

  /** Notes that a task has started on a worker in this round. */
  noteStart(task: Task, worker: string): void {
    if (isSuspect(task)) {
      this.occupied.set(worker, task.step);
    }
    this.unsettled.delete(worker);
  }

  /**
   * Keeps a worker free for each suspected task that waits, of the `suited` ones that on which the fewest
   * runs have not settled; no more than a share of `fleetSize`.
   */
  reserveWorkers(
    fleetSize: number,
    suited: (task: Task) => Iterable<string>,
  ): void {
    const share = Math.max(1, Math.floor(fleetSize * KEPT_SHARE));
    const most = Math.min(MOST_KEPT, share);
    const left = this.waiting.filter(({ status }) => status === 'waiting');
    for (const task of left.slice(0, most)) {
      const worker = this.calmest(suited(task));
      if (worker !== undefined) {
        this.kept.add(worker);
      }
    }
  }

  private calmest(workers: Iterable<string>): string | undefined {
    let best: string | undefined;
    let fewest = Infinity;
    for (const worker of workers) {
      const isFree = !this.kept.has(worker) && !this.occupied.has(worker);
      const unsettled = this.unsettledAt(worker);
      if (isFree && unsettled < fewest) {
        best = worker;
        fewest = unsettled;
      }
    }
    return best;
  }

  /** Whether a task no longer waits for a worker of its own. */
  hasIsolationWaitExpired({ blame }: Task): boolean {
    return this.input.now - blame.since >= PATIENCE_MS;
  }

  private unsettledAt(worker: string): number {
    const known = this.unsettled.get(worker);
    if (known !== undefined) {
      return known;
    }
    const { runs } = this.input.state.workers.get(worker) ?? {};
    const found = [...(runs?.values() ?? [])].filter(
      run => !this.isSettled(run),
    ).length;
    this.unsettled.set(worker, found);
    return found;
  }

  private isSettled(run: Task['runs'][number]): boolean {
    return isSettled(this.input.state, run, this.input.leadsSince);
  }
}
