/** When this host learnt of each claim of the leadership, by its own monotonic clock. */
import type { Instant } from '@paddlewind/domain';

/** Claims that are remembered; an older one is answered with the time of a later one. */
const MAX_CLAIMS = 64;

/** Times of claims by epoch; they hold whatever the host forgets of the journal. */
export class ClaimTimes {
  private readonly readAt = new Map<number, Instant>();

  /** Notes that a claim or a heartbeat of `epoch` was read; only the first time counts. */
  note(epoch: number, now: Instant): void {
    if (this.readAt.has(epoch)) {
      return;
    }
    this.readAt.set(epoch, now);
    if (this.readAt.size > MAX_CLAIMS) {
      this.readAt.delete(Math.min(...this.readAt.keys()));
    }
  }

  /** Returns a time by which a later leader than that of `epoch` had claimed; infinite for none. */
  supersededAt(epoch: number): Instant {
    const later = [...this.readAt.keys()].filter(known => known > epoch);
    return this.readAt.get(Math.min(...later)) ?? Infinity;
  }
}
