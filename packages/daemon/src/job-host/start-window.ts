/** How many starts a leader has under way at a time. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { Run } from '@paddlewind/domain/jobs';

/** Most starts under way, also so that a round of planning stays short. */
const MOST = 200;
/** Fewest: with these a start is tried at any time. */
const FEWEST = 4;
/** What is left of the window when workers cease to answer. */
const SHRINK = 0.7;
/** Workers that cease to answer within this time show the same congestion: one timeout of an order. */
const SAME_CAUSE_MS: Millis = 500;

/**
 * A window as that of a transport protocol. Where orders and reports take longer than their timeouts, as on
 * a link of 1.4 Mbit/s to 102 workers, each start that got no answer is stopped, recorded as ended, and
 * decided on anew: what is sent for nothing then takes the place of what would be answered. There it serves
 * 31 in 100 of what callers ask for in place of 17 (one simulated day).
 */
export class StartWindow {
  private size = MOST;
  private shrunkAt: Instant = -Infinity;
  private readonly underWay = new Set<Run>();

  /** How many more starts may be decided on now, where `most` may be under way for other reasons. */
  free(most = Infinity): number {
    const size = Math.min(Math.floor(this.size), most);
    return Math.max(0, size - this.underWay.size);
  }

  /** A start was decided on. */
  begin(run: Run): void {
    this.underWay.add(run);
  }

  /** A worker has confirmed a start. */
  noteBegun(run: Run): void {
    if (this.underWay.delete(run)) {
      this.size = Math.min(MOST, this.size + 1);
    }
  }

  /** A run has ended, whether it had begun or not. */
  noteEnded(run: Run): void {
    this.underWay.delete(run);
  }

  /** A worker has ceased to answer. */
  noteSilence(now: Instant): void {
    if (now - this.shrunkAt > SAME_CAUSE_MS) {
      this.shrunkAt = now;
      this.size = Math.max(FEWEST, this.size * SHRINK);
    }
  }
}
