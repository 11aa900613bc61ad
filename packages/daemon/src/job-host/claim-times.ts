/** When this host learnt of each claim of the leadership, by its own monotonic clock. */
import type { Instant } from '@paddlewind/domain';
import type { ClaimAge } from '@paddlewind/domain/jobs';

/** Claims that are remembered; an older one is answered with the time of a later one. */
const MAX_CLAIMS = 64;

/** Claims of which a leader tells the age: more have never followed each other within a lease. */
const TOLD_CLAIMS = 8;

/** Times of claims by epoch; they hold whatever the host forgets of the journal. */
export class ClaimTimes {
  private readonly readAt = new Map<number, Instant>();

  /** Notes that a claim or a heartbeat of `epoch` was read; only the first time counts. */
  note(epoch: number, now: Instant): void {
    if (this.readAt.has(epoch)) {
      return;
    }
    this.readAt.set(epoch, now);
    this.forgetOldest();
  }

  /** Returns how long ago the newest claims were learnt of. */
  ages(now: Instant): ClaimAge[] {
    return [...this.readAt]
      .sort(([a], [b]) => b - a)
      .slice(0, TOLD_CLAIMS)
      .map(([epoch, readAt]) => [epoch, Math.floor(now - readAt)]);
  }

  /**
   * Takes in ages that another host wrote at `now` or before: a host that starts anew reads of all
   * claims at once, and would else begin to wait for the leases of each of these leaders anew.
   */
  noteAges(ages: readonly ClaimAge[], now: Instant): void {
    for (const [epoch, ageMs] of ages) {
      const known = this.readAt.get(epoch) ?? Infinity;
      this.readAt.set(epoch, Math.min(known, now - ageMs));
    }
    this.forgetOldest();
  }

  /** Returns a time by which a later leader than that of `epoch` had claimed; infinite for none. */
  supersededAt(epoch: number): Instant {
    const later = [...this.readAt.keys()].filter(known => known > epoch);
    return this.readAt.get(Math.min(...later)) ?? Infinity;
  }

  private forgetOldest(): void {
    while (this.readAt.size > MAX_CLAIMS) {
      this.readAt.delete(Math.min(...this.readAt.keys()));
    }
  }
}
