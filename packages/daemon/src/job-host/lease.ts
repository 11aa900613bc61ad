/** The lease of everything at one worker, by the worker's own clock. */
import type { Instant, Millis } from '@paddlewind/domain';

import {
  LEADER_LEASE_MS,
  LEASE_MARGIN_MS,
  SLOWEST_CLOCK,
  TASK_LEASE_MS,
} from './timing.js';

/** What the leader knows of a worker's clock and lease. */
export class Lease {
  /** The worker's clock when it last answered. */
  private clock: Instant | undefined;
  /** Monotonic time by which that answer was here. */
  private receivedAt: Instant = 0;
  /** Latest end of the lease that the worker may have been given, on its clock. */
  private bound: Instant = 0;

  /** Creates the lease of a worker that earlier leaders may have extended until `releasedAt`. */
  constructor(
    private readonly releasedAt: Instant,
    private readonly maxLeaseMs: Millis,
  ) {}

  /** Returns the new end of the lease on the worker's clock, to be sent now. */
  extend(now: Instant): Instant {
    const workerNow = (this.clock ?? 0) + (now - this.receivedAt);
    const until = workerNow + Math.min(TASK_LEASE_MS, this.maxLeaseMs);
    this.bound = Math.max(this.bound, until);
    return until;
  }

  /** Takes in the worker's clock from an answer that arrived at `receivedAt`. */
  noteClock(clock: Instant, receivedAt: Instant): void {
    if (this.clock === undefined) {
      // Whatever an earlier leader gave ends by then.
      this.bound = Math.max(this.bound, clock + this.maxLeaseMs);
    }
    this.clock = clock;
    this.receivedAt = receivedAt;
  }

  /** Whether the worker has answered this leader. */
  get isKnown(): boolean {
    return this.clock !== undefined;
  }

  /** Monotonic time by which the lease has certainly ended, also where an earlier leader gave it. */
  get endsBy(): Instant {
    if (this.clock === undefined) {
      return this.releasedAt + longestEarlierLease(this.maxLeaseMs);
    }
    const left = Math.max(0, this.bound - this.clock) / SLOWEST_CLOCK;
    return this.receivedAt + left + LEASE_MARGIN_MS;
  }

  /** Whether the lease has certainly ended. */
  hasLapsed(now: Instant): boolean {
    return now > this.endsBy;
  }
}

/** Time after a claim by which every lease that the leader before it gave has ended. */
export function longestEarlierLease(maxLeaseMs: Millis): Millis {
  const leaseMs = Math.min(TASK_LEASE_MS, maxLeaseMs);
  return LEADER_LEASE_MS + leaseMs / SLOWEST_CLOCK + LEASE_MARGIN_MS;
}
