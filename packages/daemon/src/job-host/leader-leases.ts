/** The leases that a leader gives: until when, what it tells others of them, and which have ended. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  workerIdOf,
  type LeaseHandover,
  type JobsState,
  type JournalRecord,
  type Run,
} from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';
import type { Fleet } from './fleet.js';
import { tellGivenUp } from './abandoned-runs.js';
import type { WonClaim } from './leadership.js';
import { longestLeaseEnd } from './lease.js';
import type { Replica } from './replica.js';
import {
  HORIZON_SLACK_MS,
  LEASE_HORIZON_MS,
  MAX_TOLD_WORKERS,
  TASK_LEASE_MS,
} from './timing.js';

/** What the leases of a leader are given. */
export interface LeaderLeasesOptions {
  readonly ctx: HostContext;
  readonly replica: Replica;
  readonly claim: WonClaim;
  readonly state: JobsState;
  readonly fleet: Fleet;
  /** Monotonic time at which the newest confirmed append was sent. */
  readonly confirmedSentAt: () => Instant;
  /** Runs at a worker to which there is no link are given up: its lease has ended. */
  readonly givenUp: (worker: string, runs: readonly Run[]) => void;
}

/** A worker that does not answer, and by when its lease has ended. */
interface SilentWorker {
  readonly worker: string;
  readonly leaseEnd: Instant;
}

/** Leases of one leader. */
export class LeaderLeases {
  /** Monotonic time at which this leader asked to be replaced. */
  private releasedAt: Instant = Infinity;

  /** Creates the leases of a leader that has given none. */
  constructor(private readonly options: LeaderLeasesOptions) {}

  /** Monotonic time by which all leases have to end that are given now. */
  get horizon(): Instant {
    return this.horizonAfter(this.options.confirmedSentAt());
  }

  /**
   * Returns the record by which this leader asks to be replaced. Leases that it gives from now on end with
   * those that it gave last: the next leader need not wait longer for a worker that it can't reach.
   */
  release(): JournalRecord {
    this.releasedAt = this.options.ctx.clock();
    return { kind: 'release', heldMs: this.heldMs() };
  }

  /** Returns what a record that is written now tells others; undefined while this host may not know of all leaders. */
  tell(): LeaseHandover | undefined {
    const { replica, claim, ctx, fleet } = this.options;
    const now = ctx.clock();
    const handed = replica.handedLeases(claim.epoch, this.heldMs());
    if (handed === undefined) {
      return undefined;
    }
    const told = this.silentWorkers().slice(0, MAX_TOLD_WORKERS);
    const workers = new Map<string, Millis>();
    for (const { worker, leaseEnd } of told) {
      fleet.linkToPresent(worker)?.noteSilenceTold();
      workers.set(workerIdOf(worker), Math.max(0, Math.ceil(leaseEnd - now)));
    }
    return { ...handed, workers: [...workers] };
  }

  /**
   * Returns the time by which whatever a worker was given before it has a link has ended. What a start before
   * was given, `isRestarted`, has ended with it, but a call that comes late to the next one extends its lease.
   */
  earlierEnd(
    worker: string,
    isRestarted: boolean,
    maxLeaseMs: Millis,
  ): Instant {
    const { ctx, replica } = this.options;
    return isRestarted
      ? longestLeaseEnd(ctx.clock(), maxLeaseMs)
      : replica.earlierLeaseEnd(worker);
  }

  /** Gives up runs at workers that do not answer, or are not registered, once no lease can hold there. */
  giveUpLapsed(): void {
    const now = this.options.ctx.clock();
    for (const { worker, leaseEnd } of this.silentWorkers()) {
      const link = this.options.fleet.linkToPresent(worker);
      if (link !== undefined) {
        link.giveUpIfLapsed(now);
      } else if (now > leaseEnd) {
        this.giveUpUnregistered(worker);
      }
    }
  }

  private giveUpUnregistered(worker: string): void {
    const { ctx, state, givenUp } = this.options;
    const runs = [...(state.workers.get(worker)?.runs.values() ?? [])];
    tellGivenUp(ctx, worker, runs, 'unregistered');
    givenUp(worker, runs);
  }

  /** How long leases of this leader may hold after a record that is written now. */
  private heldMs(): Millis {
    const now = this.options.ctx.clock();
    return Math.ceil(this.horizonAfter(now) - now + HORIZON_SLACK_MS);
  }

  private horizonAfter(confirmedSentAt: Instant): Instant {
    return Math.min(
      confirmedSentAt + LEASE_HORIZON_MS,
      this.releasedAt + TASK_LEASE_MS,
    );
  }

  /** Workers with open runs that do not answer, and when their leases have ended at the latest. */
  private silentWorkers(): SilentWorker[] {
    const { state, fleet, replica } = this.options;
    const found: SilentWorker[] = [];
    for (const [worker, { runs }] of state.workers) {
      const link = fleet.linkToPresent(worker);
      const leaseEnd =
        link === undefined
          ? replica.earlierLeaseEnd(worker)
          : link.silentLeaseEnd;
      if (runs.size > 0 && leaseEnd !== undefined && leaseEnd < Infinity) {
        found.push({ worker, leaseEnd });
      }
    }
    return found;
  }
}
