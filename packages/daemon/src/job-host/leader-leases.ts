/** Leases of a leader: how long they last, what other hosts are told about them, and which have expired. */
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
import { logAbandonedRuns } from './abandoned-runs.js';
import type { WonClaim } from './leadership.js';
import { latestLeaseEnd } from './lease.js';
import type { Replica } from './replica.js';
import { supervisionOf, type SaturatedInterval } from './saturated-interval.js';
import {
  HORIZON_SLACK_MS,
  LEASE_HORIZON_MS,
  MAX_REPORTED_WORKERS,
  TASK_LEASE_MS,
} from './timing.js';

/** Dependencies and callbacks of a leader's leases. */
export interface LeaderLeasesOptions {
  readonly ctx: HostContext;
  readonly replica: Replica;
  readonly claim: WonClaim;
  readonly state: JobsState;
  readonly fleet: Fleet;
  /** Monotonic time at which the last confirmed append was sent. */
  readonly confirmedSentAt: () => Instant;
  /** Runs at workers without a link are abandoned, by worker, because their leases have expired. */
  readonly onRunsAbandoned: (lost: ReadonlyMap<string, readonly Run[]>) => void;
}

/** A worker that does not answer, and the time by which its lease has expired. */
interface UnresponsiveWorker {
  readonly worker: string;
  readonly leaseEnd: Instant;
}

/** Leases of one leader. */
export class LeaderLeases {
  /** Monotonic time at which this leader asked to be replaced. */
  private releasedAt: Instant = Infinity;

  private readonly supervision: SaturatedInterval;

  /** Creates the leases of a leader that has granted none. */
  constructor(private readonly options: LeaderLeasesOptions) {
    this.supervision = supervisionOf(options.ctx);
  }

  /** Monotonic time by which all leases granted now must end. */
  get horizon(): Instant {
    return this.horizonAfter(this.options.confirmedSentAt());
  }

  /**
   * Returns the record by which this leader asks to be replaced. Leases granted from now on end no later than
   * those granted last, so that the next leader need not wait longer for a worker that it can't reach.
   */
  release(): JournalRecord {
    this.releasedAt = this.options.ctx.clock();
    return { kind: 'release', heldMs: this.maxLeaseAfterRecordMs() };
  }

  /**
   * Returns the lease state to write to the journal for other hosts, or undefined if this host may not know
   * all leaders.
   */
  report(): LeaseHandover | undefined {
    const { replica, claim, ctx, fleet } = this.options;
    const now = ctx.clock();
    const handover = replica.leasesToHandOver(
      claim.epoch,
      this.maxLeaseAfterRecordMs(),
    );
    if (handover === undefined) {
      return undefined;
    }
    const reported = this.unresponsiveWorkers().slice(0, MAX_REPORTED_WORKERS);
    const workers = new Map<string, Millis>();
    for (const { worker, leaseEnd } of reported) {
      fleet.linkToCurrent(worker)?.noteSilenceReported();
      workers.set(workerIdOf(worker), Math.max(0, Math.ceil(leaseEnd - now)));
    }
    return { ...handover, workers: [...workers] };
  }

  /**
   * Returns the time by which every lease that a worker got before its link was opened has expired. If it has
   * restarted (`hasRestarted`), the lease of its previous incarnation is void, but a delayed call may extend
   * the lease of the new one.
   */
  earlierLeaseEnd(
    worker: string,
    hasRestarted: boolean,
    maxLeaseMs: Millis,
  ): Instant {
    const { ctx, replica } = this.options;
    return hasRestarted
      ? latestLeaseEnd(ctx.clock(), maxLeaseMs)
      : replica.earlierLeaseEnd(worker);
  }

  /** Abandons runs at workers that do not answer or are not registered, once their leases have expired, if due. */
  abandonExpired(): void {
    if (!this.supervision.isDue()) {
      return;
    }
    const { ctx, state, fleet, onRunsAbandoned } = this.options;
    const now = ctx.clock();
    const unregistered = new Map<string, readonly Run[]>();
    for (const { worker, leaseEnd } of this.unresponsiveWorkers()) {
      const link = fleet.linkToCurrent(worker);
      if (link !== undefined) {
        link.abandonIfExpired(now);
      } else if (now > leaseEnd) {
        const { runs } = state.workers.get(worker) ?? {};
        unregistered.set(worker, [...(runs?.values() ?? [])]);
      }
    }
    unregistered.forEach((runs, worker) => {
      logAbandonedRuns(ctx, worker, runs, 'unregistered');
    });
    onRunsAbandoned(unregistered);
  }

  /** How long leases of this leader may hold after a record that is written now. */
  private maxLeaseAfterRecordMs(): Millis {
    const now = this.options.ctx.clock();
    return Math.ceil(this.horizonAfter(now) - now + HORIZON_SLACK_MS);
  }

  private horizonAfter(confirmedSentAt: Instant): Instant {
    return Math.min(
      confirmedSentAt + LEASE_HORIZON_MS,
      this.releasedAt + TASK_LEASE_MS,
    );
  }

  /** Workers with open runs that do not answer, and the latest ends of their leases. */
  private unresponsiveWorkers(): UnresponsiveWorker[] {
    const { state, fleet, replica } = this.options;
    const found: UnresponsiveWorker[] = [];
    for (const [worker, { runs }] of state.workers) {
      const link = fleet.linkToCurrent(worker);
      const leaseEnd =
        link === undefined
          ? replica.earlierLeaseEnd(worker)
          : link.unresponsiveLeaseEnd;
      if (runs.size > 0 && leaseEnd !== undefined && leaseEnd < Infinity) {
        found.push({ worker, leaseEnd });
      }
    }
    return found;
  }
}
