/** Limits the number of starts in flight through other hosts. */
import type { Instant, Millis } from '@paddlewind/domain';

/** Maximum size, which also keeps planning rounds short. */
const MAX_SIZE = 200;
/** Minimum size, so that the link is always probed. */
const MIN_SIZE = 8;
/** Size of a start on its way to another host. */
const RELAYED_BYTES = 150;
/** Time for which the first starts may occupy the link. */
const INITIAL_BURST_MS: Millis = 100;
/** Growth of the window per start that is accepted promptly. */
const GROWTH_PER_START = 0.1;
/** Factor by which the window shrinks when a start is accepted late. */
const SHRINK_FACTOR = 0.7;
/**
 * A late start does not shrink the window within this time after the window last shrank, since the
 * queue on the link is the same, nor after a start that was accepted promptly: a queue on the
 * leader's own link delays all starts.
 */
const SAME_EVENT_MS: Millis = 300;
/** Time after the last late start for which starts count as waiting for the link. */
const NARROW_MS: Millis = 2_000;
/** Excess over the fastest answer of any host that indicates a queue on the link. */
const QUEUEING_DELAY_MS: Millis = 150;
const MS_PER_S = 1_000;

/**
 * A congestion window, as in transport protocols, controlled by the time until starts are accepted,
 * since the other traffic of the leader's link is not known in advance in either direction. Without
 * it, many starts time out together at a peak, and retries keep the link full.
 */
export class RelayWindow {
  private width: number;
  private fastestMs: Millis = Infinity;
  private shrunkAt: Instant = -Infinity;
  private promptAt: Instant = -Infinity;

  /** Creates a window for a link that carries `bytesPerS`, which may be infinite. */
  constructor(bytesPerS: number) {
    const initialStarts =
      ((bytesPerS / MS_PER_S) * INITIAL_BURST_MS) / RELAYED_BYTES;
    this.width = Math.min(MAX_SIZE, Math.max(MIN_SIZE, initialStarts));
  }

  /** Maximum number of starts in flight. */
  get size(): number {
    return Math.floor(this.width);
  }

  /** Time after which an answer shows a queue on the link; infinite before the first answer. */
  get lateAfterMs(): Millis {
    return this.fastestMs + QUEUEING_DELAY_MS;
  }

  /** Whether starts wait for the link: the window shrank recently and has not grown back. */
  isNarrow(now: Instant): boolean {
    return now - this.shrunkAt < NARROW_MS && this.width < MAX_SIZE;
  }

  /** Records that another host has accepted `starts` after `tookMs`. */
  recordAccepted(starts: number, tookMs: Millis, now: Instant): void {
    this.fastestMs = Math.min(this.fastestMs, tookMs);
    if (tookMs > this.lateAfterMs) {
      this.recordLate(now);
    } else {
      this.promptAt = now;
      this.width = Math.min(MAX_SIZE, this.width + GROWTH_PER_START * starts);
    }
  }

  /** Records that another host has not accepted starts in time. */
  recordLate(now: Instant): void {
    const lastEventAt = Math.max(this.shrunkAt, this.promptAt);
    if (now - lastEventAt > SAME_EVENT_MS) {
      this.shrunkAt = now;
      this.width = Math.max(MIN_SIZE, this.width * SHRINK_FACTOR);
    }
  }
}
