/**
 * Decides whether a leader's link carries the payload of a start beside the calls that only the
 * leader can make.
 */
import type { Clock, Instant } from '@paddlewind/domain';

/**
 * Time for which unused bandwidth is saved up, in seconds: a burst waits at most this long for the
 * link.
 */
const MAX_SAVED_S = 1;
const MS_PER_S = 1_000;
/** Payloads that may be due at once: 200 starts of the largest size that callers may submit. */
const BURST_BYTES = 200 * 4_000;

/** A token bucket for the payload bytes of all starts, whichever host sends them. */
export class LinkBudget {
  private remainingBytes: number;
  private refilledAt: Instant;

  /** Creates a full budget of `bytesPerS`, which may be infinite. */
  constructor(
    private readonly clock: Clock,
    private readonly bytesPerS: number,
  ) {
    this.remainingBytes = this.bytesPerS * MAX_SAVED_S;
    this.refilledAt = clock();
  }

  /** Whether a burst of starts may exceed the budget. */
  get mayBeExceeded(): boolean {
    return this.bytesPerS * MAX_SAVED_S < BURST_BYTES;
  }

  /**
   * Takes `bytes` out of the budget; false if they exceed it. Bytes that exceed the budget are
   * charged as well: under sustained overload none are admitted, where otherwise a part of each
   * second's payloads would be sent.
   */
  tryTake(bytes: number): boolean {
    if (this.bytesPerS === Infinity) {
      return true;
    }
    const capacity = this.bytesPerS * MAX_SAVED_S;
    const now = this.clock();
    const refill = ((now - this.refilledAt) / MS_PER_S) * this.bytesPerS;
    const remaining = Math.min(capacity, this.remainingBytes + refill);
    this.refilledAt = now;
    this.remainingBytes = Math.max(-capacity, remaining - bytes);
    return remaining >= bytes;
  }
}
