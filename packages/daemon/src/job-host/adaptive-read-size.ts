/** How much of a stream a read asks for, so that the answer arrives in time over any link. */
import type { Millis } from '@paddlewind/domain';

/** Bytes of a host's first read: 0.2 s on a link of 10 Mbit/s. */
const FIRST_BYTES = 262_144;
/** Fewest bytes: some hundred starts and ends, and more than any job of today. */
const FEWEST_BYTES = 65_536;
/** Most bytes: what the log brings at once. */
const MOST_BYTES = 1_048_576;
/** An answer that took longer makes the next read smaller: half of the time that a read has. */
const SLOW_MS: Millis = 700;
/** An answer that took less lets the next read be larger. */
const FAST_MS: Millis = 250;

/**
 * Follows how fast the link is. A read that does not arrive in time has brought nothing, and to ask
 * for the same again brings nothing either: on links of 10 Mbit/s hosts received 0.8 MB a second
 * without learning anything.
 */
export class AdaptiveReadSize {
  private size = FIRST_BYTES;

  /** Bytes to ask for. */
  get bytes(): number {
    return this.size;
  }

  /** Notes an answer that took `took` and brought `bytes` of records, where there were some. */
  noteAnswer(took: Millis, bytes: number): void {
    if (bytes === 0) {
      // The next record may be larger than what was asked for.
      this.resize(this.size * 2);
    } else if (took > SLOW_MS) {
      this.resize(this.size / 2);
    } else if (took < FAST_MS && 2 * bytes > this.size) {
      this.resize(this.size * 2);
    }
  }

  /** Notes a read without an answer. */
  noteFailure(): void {
    this.resize(this.size / 2);
  }

  private resize(bytes: number): void {
    this.size = Math.min(MOST_BYTES, Math.max(FEWEST_BYTES, bytes));
  }
}
