/** How many starts are under way at a time by way of other hosts. */
import type { Instant, Millis } from '@paddlewind/domain';

/** Most starts under way, also so that a round of planning stays short. */
const MOST = 200;
/** Fewest: with these the link is tried at any time. */
const FEWEST = 8;
/** Bytes of a start on its way to another host. */
const RELAYED_BYTES = 150;
/** Time for which the first starts may keep the link busy. */
const FIRST_BURST_MS: Millis = 100;
/** What the window grows by with each start that is taken at once. */
const GROWTH = 0.1;
/** What is left of it when one is taken late. */
const SHRINK = 0.7;
/**
 * Starts that are taken late within this time show the same queue on the link, unless some were taken at once:
 * a queue on the leader's own link holds all of them up.
 */
const SAME_CAUSE_MS: Millis = 300;
/** Starts wait for the link for this long after they were last taken late. */
const BUSY_MS: Millis = 2_000;
/** Beyond the quickest answer of any host an answer this much later tells of a queue. */
const QUEUED_MS: Millis = 150;
const MS_PER_S = 1_000;

/**
 * A window as that of a transport protocol, which goes by the time until starts are taken: what the leader's
 * link carries beside them, in either direction, is not known beforehand. Without it many starts run out of time
 * together at a peak, and what is then sent again keeps the link full.
 */
export class RelayWindow {
  private width: number;
  private quickestMs: Millis = Infinity;
  private shrunkAt: Instant = -Infinity;
  private takenAtOnceAt: Instant = -Infinity;

  /** Creates a window for a link that carries `bytesPerS`, which may be infinite. */
  constructor(bytesPerS: number) {
    const burst = ((bytesPerS / MS_PER_S) * FIRST_BURST_MS) / RELAYED_BYTES;
    this.width = Math.min(MOST, Math.max(FEWEST, burst));
  }

  /** How many starts may be under way. */
  get size(): number {
    return Math.floor(this.width);
  }

  /** Whether starts wait for the link: it has shrunk of late, and not grown back. */
  isNarrow(now: Instant): boolean {
    return now - this.shrunkAt < BUSY_MS && this.width < MOST;
  }

  /** Notes that another host has taken `starts` after `tookMs`. */
  noteTaken(starts: number, tookMs: Millis, now: Instant): void {
    this.quickestMs = Math.min(this.quickestMs, tookMs);
    if (tookMs > this.quickestMs + QUEUED_MS) {
      this.noteLate(now);
    } else {
      this.takenAtOnceAt = now;
      this.width = Math.min(MOST, this.width + GROWTH * starts);
    }
  }

  /** Notes that another host has not taken starts in time. */
  noteLate(now: Instant): void {
    const seenAt = Math.max(this.shrunkAt, this.takenAtOnceAt);
    if (now - seenAt > SAME_CAUSE_MS) {
      this.shrunkAt = now;
      this.width = Math.max(FEWEST, this.width * SHRINK);
    }
  }
}
