/** What a host's link carries of payloads, beside the calls that only this host can make. */
import type { Clock, Instant } from '@paddlewind/domain';

/** Time for which the budget may be saved up, in seconds: a burst waits no longer than that for the link. */
const SAVED_S = 1;
const MS_PER_S = 1_000;
/** Payloads that may be due at once: 200 starts of the largest size that callers may ask for. */
const BURST_BYTES = 200 * 4_000;

/** A token bucket of bytes. */
export class LinkBudget {
  private left: number;
  private filledAt: Instant;

  /** Creates a full budget of `bytesPerS`, which may be infinite. */
  constructor(
    private readonly clock: Clock,
    private readonly bytesPerS: number,
  ) {
    this.left = this.bytesPerS * SAVED_S;
    this.filledAt = clock();
  }

  /** Whether a burst of starts may exceed it. */
  get mayRunShort(): boolean {
    return this.bytesPerS * SAVED_S < BURST_BYTES;
  }

  /** Takes `bytes` out of the budget; false, and nothing is taken, where it has run out. */
  take(bytes: number): boolean {
    if (this.bytesPerS === Infinity) {
      return true;
    }
    const now = this.clock();
    const earned = ((now - this.filledAt) / MS_PER_S) * this.bytesPerS;
    this.left = Math.min(this.bytesPerS * SAVED_S, this.left + earned);
    this.filledAt = now;
    if (this.left < bytes) {
      return false;
    }
    this.left -= bytes;
    return true;
  }
}
