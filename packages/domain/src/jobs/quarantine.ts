/**
 * Isolates tasks that are suspected of crashing their workers. Such a task starts on a worker without other
 * recently started runs, and nothing starts beside it until it has settled: the next loss then affects few
 * other runs and shows which task caused it. If no such worker is free, one is reserved until it is. While
 * workers are being lost together, another loss would show nothing, so tasks that were lost often wait.
 */
import type { Instant, Millis } from '../core/time.js';
import {
  isInDoubt,
  isLastDoubt,
  isSuspect,
  suspectedJobs,
  suspicionPercent,
} from './suspect-tasks.js';
import { isFinished, type Job, type Step, type Task } from './job.js';
import { busyWorkers, type JobsState } from './jobs-state.js';
import { isSettled } from './loss-attribution.js';

/** Input of the quarantine in one scheduling round. */
export interface QuarantineInput {
  readonly state: JobsState;
  readonly now: Instant;
  /** Monotonic time at which this leader took over. */
  readonly leadsSince: Instant;
}

/**
 * Time after which a suspected task no longer waits for a worker of its own: users allow 3 s in which no task
 * of a job runs although there is capacity for it.
 */
const MAX_ISOLATION_WAIT_MS: Millis = 2_000;

/** Time without joint losses of workers after which a task that was lost often starts again. */
const CALM_MS: Millis = 3_000;

/** Maximum time for which such a task waits, since joint losses may go on. */
const MAX_CALM_WAIT_MS: Millis = 6_000;

/** Share of the workers, lost within `CALM_MS`, from which losses count as joint. */
const JOINT_LOSS_SHARE = 0.1;

/** Number of workers, lost within `CALM_MS`, from which losses count as joint. */
const MIN_JOINT_LOSSES = 2;

/** How long a task in doubt runs before one of another job may start: losses are noticed within it. */
const TRIAL_MS: Millis = 1_500;

/** Maximum number of jobs with tasks in doubt that start in turn; more are hardly the cause of their losses. */
const MAX_JOBS_IN_TURN = 8;

/** Maximum share of the workers that is reserved for suspected tasks. */
const MAX_RESERVED_SHARE = 1 / 8;
/** Maximum number of reserved workers: the search for each one covers the whole fleet. */
const MAX_RESERVED_WORKERS = 16;

/** Decides in one round where suspected tasks may run, and where other tasks may not. */
export class Quarantine {
  /** Suspected tasks that wait for a worker, the one that has waited longest first. */
  readonly waiting: readonly Task[];
  /** Steps of suspected tasks that have not settled, by worker. */
  private readonly isolatedSteps = new Map<string, Step>();
  /** Workers that are reserved for suspected tasks. */
  private readonly reserved = new Set<string>();
  /** Cached numbers of runs that have not settled, by worker. */
  private readonly unsettledCounts = new Map<string, number>();
  /** Jobs with tasks in doubt. */
  private readonly doubtedJobs = new Set<Job>();
  /** Those of them with a run that has not shown yet what it does. */
  private readonly triedJobs = new Set<Job>();
  /** Whether several workers have just been lost, more than suspected tasks explain. */
  private readonly areWorkersLostTogether: boolean;

  /** Finds suspected tasks and the workers on which they run. */
  constructor(private readonly input: QuarantineInput) {
    const { suspects } = input.state;
    this.areWorkersLostTogether = areWorkersLostTogether(input);
    const waiting: Task[] = [];
    for (const task of suspects) {
      this.noteDoubt(task);
      if (
        suspicionPercent(task) === 0 ||
        isFinished(task.step.occurrence.job)
      ) {
        suspects.delete(task);
      } else if (isSuspect(task)) {
        waiting.push(...(task.status === 'waiting' ? [task] : []));
        for (const run of task.runs.filter(open => !this.isSettled(open))) {
          this.isolatedSteps.set(run.worker, task.step);
        }
      }
    }
    this.waiting = waiting.sort(
      (a, b) => a.lossHistory.lastLossAt - b.lossHistory.lastLossAt,
    );
  }

  private noteDoubt(task: Task): void {
    const { job } = task.step.occurrence;
    if (!isInDoubt(task) || isFinished(job)) {
      return;
    }
    this.doubtedJobs.add(job);
    const since = this.input.now - TRIAL_MS;
    if (task.runs.some(({ openedAt }) => openedAt > since)) {
      this.triedJobs.add(job);
    }
  }

  /** Tells whether a task may start on a worker. */
  admits(worker: string, task: Task): boolean {
    const isolated = this.isolatedSteps.get(worker);
    if (isolated !== undefined) {
      // Members of a gang can't wait for each other.
      return isolated.spec.gang && isolated === task.step;
    }
    if (this.waitsForCalm(task) || this.waitsForTurn(task)) {
      return false;
    }
    return isSuspect(task)
      ? this.hasIsolationWaitExpired(task) || this.countUnsettled(worker) === 0
      : !this.reserved.has(worker);
  }

  /** Notes that a task has started on a worker in this round. */
  noteStart(task: Task, worker: string): void {
    if (isInDoubt(task)) {
      this.triedJobs.add(task.step.occurrence.job);
    }
    if (isSuspect(task)) {
      this.isolatedSteps.set(worker, task.step);
    }
    this.unsettledCounts.delete(worker);
  }

  /**
   * Reserves a worker for each suspected task that waits: the `suited` worker with the fewest runs that have
   * not settled. Reserves no more than a share of `fleetSize`.
   */
  reserveWorkers(
    fleetSize: number,
    suited: (task: Task) => Iterable<string>,
  ): void {
    const share = Math.max(1, Math.floor(fleetSize * MAX_RESERVED_SHARE));
    const limit = Math.min(MAX_RESERVED_WORKERS, share);
    const waiting = this.waiting.filter(
      task => task.status === 'waiting' && !this.waitsForCalm(task),
    );
    for (const task of waiting.slice(0, limit)) {
      const worker = this.findLeastUnsettled(suited(task));
      if (worker !== undefined) {
        this.reserved.add(worker);
      }
    }
  }

  private findLeastUnsettled(workers: Iterable<string>): string | undefined {
    let best: string | undefined;
    let fewest = Infinity;
    for (const worker of workers) {
      const isFree =
        !this.reserved.has(worker) && !this.isolatedSteps.has(worker);
      const unsettled = this.countUnsettled(worker);
      if (isFree && unsettled < fewest) {
        best = worker;
        fewest = unsettled;
      }
    }
    return best;
  }

  /** Tells whether a task no longer waits for a worker of its own. */
  hasIsolationWaitExpired({ lossHistory }: Task): boolean {
    return this.input.now - lossHistory.lastLossAt >= MAX_ISOLATION_WAIT_MS;
  }

  /** Tells whether a task waits until workers are no longer lost together. */
  private waitsForCalm(task: Task): boolean {
    const waitedMs = this.input.now - task.lossHistory.lastLossAt;
    return (
      this.areWorkersLostTogether &&
      waitedMs < MAX_CALM_WAIT_MS &&
      isLastDoubt(task)
    );
  }

  /**
   * Tells whether a task that was lost together with tasks of other jobs waits until one of these has shown
   * what it does. Tasks that crash their workers at the same time would hide each other.
   */
  private waitsForTurn(task: Task): boolean {
    const { job } = task.step.occurrence;
    const waitedMs = this.input.now - task.lossHistory.lastLossAt;
    return (
      this.doubtedJobs.size > 1 &&
      this.doubtedJobs.size <= MAX_JOBS_IN_TURN &&
      isInDoubt(task) &&
      waitedMs < MAX_CALM_WAIT_MS &&
      [...this.triedJobs].some(tried => tried !== job)
    );
  }

  private countUnsettled(worker: string): number {
    const cached = this.unsettledCounts.get(worker);
    if (cached !== undefined) {
      return cached;
    }
    const { runs } = this.input.state.workers.get(worker) ?? {};
    const count = [...(runs?.values() ?? [])].filter(
      run => !this.isSettled(run),
    ).length;
    this.unsettledCounts.set(worker, count);
    return count;
  }

  private isSettled(run: Task['runs'][number]): boolean {
    return isSettled(this.input.state, run, this.input.leadsSince);
  }
}

function areWorkersLostTogether({ state, now }: QuarantineInput): boolean {
  const lost = state.lostContacts.lostSince(
    now - CALM_MS,
    suspectedJobs(state),
  ).length;
  if (lost < MIN_JOINT_LOSSES) {
    return false;
  }
  const busy = Math.max(lost, busyWorkers(state).length);
  return lost / busy >= JOINT_LOSS_SHARE;
}
