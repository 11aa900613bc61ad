/** Limits the number of starts that a leader has in flight. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { Run } from '@paddlewind/domain/jobs';

/** Maximum number of starts in flight of a leader that calls workers itself, which also keeps rounds short. */
export const MAX_STARTS = 200;
/** Minimum: some starts are attempted at any time. */
const MIN_STARTS = 4;
/** Factor by which the window shrinks at a congestion. */
const SHRINK_FACTOR = 0.7;
/** Signs of congestion within this time are of the same one: one order timeout. */
const SHRINK_INTERVAL_MS: Millis = 500;

/**
 * A congestion window, as in a transport protocol. If orders and reports exceed their timeouts, as on a link
 * of 1.4 Mbit/s to 102 workers, each unanswered start is stopped, recorded as ended and decided again. This
 * wasted traffic takes the place of calls that would be answered. On such a link the window raises the served
 * share of what callers ask for from 17 to 31 in 100 (one simulated day).
 */
export class StartWindow {
  /** Part of the maximum that may be in flight. */
  private share = 1;
  private shrunkAt: Instant = -Infinity;
  private readonly inFlight = new Set<Run>();

  /** Creates a window; `paceLimit` returns the limit by how late decisions are, `maxStarts` the maximum. */
  constructor(
    private readonly paceLimit: () => number = () => Infinity,
    private readonly maxStarts: () => number = () => MAX_STARTS,
  ) {}

  /** Returns how many more starts may be decided now; `limit` is a further limit on starts in flight. */
  available(limit = Infinity): number {
    const size = Math.min(Math.floor(this.size), limit, this.paceLimit());
    return Math.max(0, size - this.inFlight.size);
  }

  private get size(): number {
    return this.share * this.maxStarts();
  }

  /** Adds a start that was decided. */
  add(run: Run): void {
    this.inFlight.add(run);
  }

  /** Notes that a worker has confirmed a start. */
  noteStarted(run: Run): void {
    if (this.inFlight.delete(run)) {
      this.share = Math.min(1, this.share + 1 / this.maxStarts());
    }
  }

  /** Notes that a run has ended, whether it had started or not. */
  noteEnded(run: Run): void {
    this.inFlight.delete(run);
  }

  /** Notes that a worker has stopped answering, or that a start could not be sent in time. */
  noteCongestion(now: Instant): void {
    if (now - this.shrunkAt > SHRINK_INTERVAL_MS) {
      this.shrunkAt = now;
      const leastShare = MIN_STARTS / this.maxStarts();
      this.share = Math.max(leastShare, this.share * SHRINK_FACTOR);
    }
  }
}
