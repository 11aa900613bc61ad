/** Other workers that were lost, which show how likely the loss of one worker has nothing to do with its runs. */
import type { Instant } from '../core/time.js';
import type { Job, Run } from './job.js';
import { busyWorkers, type JobsState } from './jobs-state.js';
import { SETTLED_MS } from './loss.js';
import {
  isSuspect,
  LOSS_RETENTION_MS,
  suspectedJobs,
  workersLostUnder,
} from './suspect-tasks.js';

/** Probability of losing a healthy worker while a run settles, above which losses say little about tasks. */
const NOISY_LOSS_PROBABILITY = 0.01;

/** The loss that is judged. */
export interface JudgedLoss {
  /** Number of workers that are registered. */
  readonly fleetSize: number;
  /** Latest monotonic time at which the worker can have been lost. */
  readonly lostBy: Instant;
  readonly now: Instant;
}

/** Workers that are lost but not known to be yet, and the share lost at the same time, by other jobs. */
interface LossesWithoutJob {
  readonly silent: readonly string[];
  readonly concurrentShare: number;
}

/** The other losses at the time of one loss. */
export class OtherLosses {
  private readonly known: ReadonlySet<string>;
  private readonly suspectJobs: ReadonlySet<Job>;
  private readonly lostUnderSuspects: readonly string[];
  private readonly withoutJob = new Map<Job, LossesWithoutJob>();

  /** Collects the other losses. */
  constructor(
    private readonly state: JobsState,
    private readonly judged: JudgedLoss,
  ) {
    this.known = new Set(
      [...state.workerLosses]
        .filter(([, at]) => judged.now - at < LOSS_RETENTION_MS)
        .map(([worker]) => worker),
    );
    this.suspectJobs = suspectedJobs(state);
    this.lostUnderSuspects = [...state.suspects]
      .filter(isSuspect)
      .flatMap(workersLostUnder);
  }

  /** Tells whether workers without the task of a run are hardly ever lost. */
  isFleetHealthyFor(run: Run): boolean {
    return this.lossProbability(run, ownLosses(run)) <= NOISY_LOSS_PROBABILITY;
  }

  /** Returns the probability of losing a worker while a run settles, by what no suspected task explains. */
  noiseFor(run: Run): number {
    const explained = [...ownLosses(run), ...this.lostUnderSuspects];
    return this.lossProbability(run, explained);
  }

  /** Returns the share of the workers that were lost at the same time without the job of a run. */
  concurrentShareFor(run: Run): number {
    return this.lossesWithout(run).concurrentShare;
  }

  private lossProbability(run: Run, explained: readonly string[]): number {
    const { silent } = this.lossesWithout(run);
    const lost = new Set([...this.known, ...silent]);
    explained.forEach(worker => lost.delete(worker));
    const perWorker = lost.size / Math.max(1, this.judged.fleetSize);
    return Math.min(1, (perWorker * SETTLED_MS) / LOSS_RETENTION_MS);
  }

  private lossesWithout(run: Run): LossesWithoutJob {
    const { job } = run.task.step.occurrence;
    const found = this.withoutJob.get(job) ?? this.findWithout(run, job);
    this.withoutJob.set(job, found);
    return found;
  }

  private findWithout({ worker }: Run, job: Job): LossesWithoutJob {
    const { lostContacts } = this.state;
    const explaining = new Set([job, ...this.suspectJobs]);
    return {
      silent: lostContacts.lostSince(-Infinity, explaining),
      concurrentShare: lostContacts.concurrentShare(
        { worker, at: this.judged.lostBy },
        busyWorkers(this.state),
        explaining,
      ),
    };
  }
}

function ownLosses({ worker, task }: Run): string[] {
  return [worker, ...workersLostUnder(task)];
}
