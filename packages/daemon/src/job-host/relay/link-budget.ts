/** Whether a host's link carries the payloads of all starts, beside the calls that only this host can make. */
import type { Clock, Instant } from '@paddlewind/domain';

/** Time for which the budget may be saved up, in seconds: a burst waits no longer than that for the link. */
const SAVED_S = 1;
const MS_PER_S = 1_000;
/** Payloads that may be due at once: 200 starts of the largest size that callers may ask for. */
const BURST_BYTES = 200 * 4_000;

/** A token bucket of the bytes that are asked for, whoever sends them then. */
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

  /**
   * Takes `bytes` out of the budget; false where it has run out. Bytes that it has no room for count as well:
   * under a load beyond it nothing is left, where a part of each second's payloads would else be sent.
   */
  take(bytes: number): boolean {
    if (this.bytesPerS === Infinity) {
      return true;
    }
    const most = this.bytesPerS * SAVED_S;
    const now = this.clock();
    const earned = ((now - this.filledAt) / MS_PER_S) * this.bytesPerS;
    const left = Math.min(most, this.left + earned);
    this.filledAt = now;
    this.left = Math.max(-most, left - bytes);
    return left >= bytes;
  }
}
