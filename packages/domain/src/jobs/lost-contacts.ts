/**
 * Workers that stopped answering the leader, and when. A task can only crash the worker that runs it, so
 * workers with other jobs that are lost at the same time show that the cause is another one.
 */
import type { Instant, Millis } from '../core/time.js';
import type { Job } from './job.js';

/**
 * Maximum time between losses that have one cause: a crash is noticed with the next failed call, or when a
 * poll times out.
 */
const CONCURRENCY_WINDOW_MS: Millis = 750;

/** Number of other workers lost at the same time from which a common cause is assumed. */
const MIN_CONCURRENT_LOSSES = 2;

/** How long a lost contact is kept: longer than it takes until the runs of a silent worker are abandoned. */
const RETENTION_MS: Millis = 20_000;

/** A worker that stopped answering. */
interface LostContact {
  readonly at: Instant;
  /** Jobs with runs there that had not settled. */
  readonly jobs: ReadonlySet<Job>;
}

/** Lost contacts of one leader, by incarnation of the worker. */
export class LostContacts {
  private readonly lost = new Map<string, LostContact>();

  /** Notes that a worker stopped answering at `at`, with unsettled runs of `jobs`. */
  noteLost(worker: string, at: Instant, jobs: ReadonlySet<Job>): void {
    for (const [known, contact] of this.lost) {
      if (at - contact.at > RETENTION_MS) {
        this.lost.delete(known);
      }
    }
    if (!this.lost.has(worker)) {
      this.lost.set(worker, { at, jobs });
    }
  }

  /** Notes that a worker answers again: it was not lost. */
  noteAnswered(worker: string): void {
    this.lost.delete(worker);
  }

  /**
   * Returns the share of the `busy` workers that were lost about as late as one that was lost at `at`. Those
   * with unsettled runs of a job in `explaining` are left out. Returns 0 if fewer than two were lost.
   */
  concurrentShare(
    { worker, at }: { readonly worker: string; readonly at: Instant },
    busy: readonly string[],
    explaining: ReadonlySet<Job>,
  ): number {
    const concurrent = [...this.lost].filter(
      ([other, lost]) =>
        other !== worker && Math.abs(lost.at - at) <= CONCURRENCY_WINDOW_MS,
    );
    const unexplained = concurrent.filter(
      ([, { jobs }]) => !hasAny(jobs, explaining),
    );
    if (unexplained.length < MIN_CONCURRENT_LOSSES) {
      return 0;
    }
    const others = new Set([...busy, ...concurrent.map(([other]) => other)]);
    others.delete(worker);
    const explained = concurrent.length - unexplained.length;
    return unexplained.length / (others.size - explained);
  }

  /** Returns the workers lost since `since`, without those with unsettled runs of a job in `explaining`. */
  lostSince(since: Instant, explaining: ReadonlySet<Job>): string[] {
    return [...this.lost]
      .filter(([, { at, jobs }]) => at >= since && !hasAny(jobs, explaining))
      .map(([worker]) => worker);
  }
}

function hasAny(jobs: ReadonlySet<Job>, among: ReadonlySet<Job>): boolean {
  return [...jobs].some(job => among.has(job));
}
