/** How fast payloads go out, so that looks, stops and appends are not held up behind them on a full link. */
import type { Instant, Millis } from '@paddlewind/domain';

import { pause, type HostContext } from '../context.js';

/** Time for which the link may be ahead of its pace: starts that were decided on together go out at once. */
const BURST_MS: Millis = 500;
/** Time that the link may take for the starts under way: tasks that come meanwhile may be more urgent. */
const UNDER_WAY_MS: Millis = 1_000;
/** Fewest starts under way: with these some are tried at any time. */
const FEWEST = 4;
/** Bytes of a start before the first one is sent. */
const FIRST_BYTES = 1_500;
/** Longest wait for a turn: a start that waits longer is better planned anew. */
const LONGEST_WAIT_MS: Millis = 1_000;
/** How much the newest start counts of what one takes on the mean. */
const NEWEST_SHARE = 0.1;
const MS_PER_S = 1_000;

/** Gives starts their turns on the link of a host. */
export class LinkPace {
  private readonly bytesPerMs: number;
  /** When the link will have carried all that had a turn, at this pace. */
  private freeAt: Instant = -Infinity;
  /** Bytes that a start takes on the mean. */
  private meanBytes = FIRST_BYTES;

  /** Creates a pace of `bytesPerS`, which may be infinite. */
  constructor(
    private readonly ctx: HostContext,
    bytesPerS: number,
  ) {
    this.bytesPerMs = bytesPerS / MS_PER_S;
  }

  /** Whether starts wait for their turns. */
  get isBusy(): boolean {
    return this.waitMs() > 0;
  }

  /** How many starts may be under way. */
  get mostStarts(): number {
    const starts = (UNDER_WAY_MS * this.bytesPerMs) / this.meanBytes;
    return Math.max(FEWEST, Math.floor(starts));
  }

  /** Resolves once it is the turn of `bytes`; with false, and without a turn, where that would take too long. */
  async admit(bytes: number): Promise<boolean> {
    const wait = this.waitMs();
    if (wait > LONGEST_WAIT_MS) {
      return false;
    }
    this.freeAt = this.ctx.clock() + wait + bytes / this.bytesPerMs;
    this.meanBytes += NEWEST_SHARE * (bytes - this.meanBytes);
    if (wait > 0) {
      await pause(this.ctx, wait);
    }
    return true;
  }

  /** How long a start waits for its turn now; below 0 where the link has been idle. */
  private waitMs(): Millis {
    return Math.max(-BURST_MS, this.freeAt - this.ctx.clock());
  }
}
