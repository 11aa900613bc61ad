/** The lease of all runs at one worker, on the worker's own clock. */
import type { Instant, Millis } from '@paddlewind/domain';

import { LEASE_MARGIN_MS, MIN_CLOCK_RATE, TASK_LEASE_MS } from './timing.js';

/** What the leader knows of a worker's clock and lease. */
export class Lease {
  /** The worker's clock in its last answer. */
  private workerClock: Instant | undefined;
  /** Monotonic time at which that answer was received. */
  private receivedAt: Instant = 0;
  /** Latest lease end that the worker may have received, on its own clock. */
  private latestEnd: Instant = 0;

  private readonly leaseMs: Millis;

  /** Creates the lease of a worker; all earlier leases have expired by `earlierEnd`. */
  constructor(
    private readonly earlierEnd: Instant,
    private readonly maxLeaseMs: Millis,
    /** Whether the worker has restarted: lease ends on its previous clock may be far ahead of the new one. */
    private readonly hasRestarted: boolean,
  ) {
    this.leaseMs = Math.min(TASK_LEASE_MS, maxLeaseMs);
  }

  /** Returns the new lease end on the worker's clock, to be sent now; the lease ends by `horizon`. */
  extend(now: Instant, horizon: Instant): Instant {
    // A lower bound of the worker's clock, so that the lease never ends later than the leader may grant it.
    const passed = (now - this.receivedAt) * MIN_CLOCK_RATE;
    const workerNow = (this.workerClock ?? 0) + passed;
    const until = workerNow + Math.min(this.leaseMs, horizon - now);
    this.latestEnd = Math.max(this.latestEnd, until);
    return until;
  }

  /** Updates the worker's clock from an answer received at `receivedAt`. */
  noteClock(clock: Instant, receivedAt: Instant): void {
    if (this.workerClock === undefined) {
      // Earlier leaders, whose calls the worker now refuses, did not grant longer leases than this one.
      const longest = this.hasRestarted ? this.maxLeaseMs : this.leaseMs;
      this.latestEnd = Math.max(this.latestEnd, clock + longest);
    }
    this.workerClock = clock;
    this.receivedAt = receivedAt;
  }

  /** Whether the worker has answered this leader. */
  get isKnown(): boolean {
    return this.workerClock !== undefined;
  }

  /** Monotonic time by which the lease has certainly expired, even if an earlier leader granted it. */
  get endsBy(): Instant {
    if (this.workerClock === undefined) {
      return this.earlierEnd;
    }
    const left =
      Math.max(0, this.latestEnd - this.workerClock) / MIN_CLOCK_RATE;
    return this.receivedAt + left + LEASE_MARGIN_MS;
  }

  /** Whether the lease has certainly expired. */
  hasExpired(now: Instant): boolean {
    return now > this.endsBy;
  }
}

/** Returns the time by which the longest lease that a worker may have received by `now` has expired. */
export function latestLeaseEnd(now: Instant, maxLeaseMs: Millis): Instant {
  return now + maxLeaseMs / MIN_CLOCK_RATE + LEASE_MARGIN_MS;
}
