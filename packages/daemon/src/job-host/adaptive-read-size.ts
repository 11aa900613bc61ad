/** How many bytes a read of a stream requests, so that the answer arrives in time on any link. */
import type { Millis } from '@paddlewind/domain';

/** Size of a host's first read: takes 0.2 s on a link of 10 Mbit/s. */
const INITIAL_BYTES = 262_144;
/** Minimum size: some hundred starts and ends, and more than any current job. */
const MIN_BYTES = 65_536;
/** Maximum size: the most that the log returns at once. */
const MAX_BYTES = 1_048_576;
/** A slower answer makes the next read smaller; half of the timeout of a read. */
const SLOW_ANSWER_MS: Millis = 700;
/** A faster answer allows a larger next read. */
const FAST_ANSWER_MS: Millis = 250;

/**
 * Adapts the read size to the speed of the link. A read that times out returns nothing, and repeating it at
 * the same size returns nothing either: on links of 10 Mbit/s hosts received 0.8 MB a second without any
 * progress.
 */
export class AdaptiveReadSize {
  private targetBytes = INITIAL_BYTES;

  /** Number of bytes to request. */
  get bytes(): number {
    return this.targetBytes;
  }

  /** Records an answer that took `tookMs` and returned `bytes` of records, possibly none. */
  noteAnswer(tookMs: Millis, bytes: number): void {
    if (bytes === 0) {
      // The next record may be larger than the requested size.
      this.resize(this.targetBytes * 2);
    } else if (tookMs > SLOW_ANSWER_MS) {
      this.resize(this.targetBytes / 2);
    } else if (tookMs < FAST_ANSWER_MS && 2 * bytes > this.targetBytes) {
      this.resize(this.targetBytes * 2);
    }
  }

  /** Records a read without an answer. */
  noteFailure(): void {
    this.resize(this.targetBytes / 2);
  }

  private resize(bytes: number): void {
    this.targetBytes = Math.min(MAX_BYTES, Math.max(MIN_BYTES, bytes));
  }
}
