/** Paces payloads so that polls, stops and appends are not delayed behind them on a full link. */
import type { Instant, Millis } from '@paddlewind/domain';

import { pause, type HostContext } from '../context.js';

/**
 * Time by which the link may run ahead of its pace: starts that were planned together are sent at
 * once.
 */
const BURST_MS: Millis = 500;
/** Time that the starts in flight may occupy the link; tasks that arrive meanwhile may be more urgent. */
const IN_FLIGHT_MS: Millis = 1_000;
/** Minimum number of starts in flight, so that some are always attempted. */
const MIN_STARTS = 4;
/** Assumed size of a start before the first one is sent. */
const INITIAL_START_BYTES = 1_500;
/** Longest wait for a turn: a start that would wait longer should be planned again. */
const MAX_WAIT_MS: Millis = 1_000;
/** Weight of the newest start in the mean size. */
const NEWEST_WEIGHT = 0.1;
const MS_PER_S = 1_000;

/** Paces the starts on a host's link. */
export class LinkPacer {
  private readonly bytesPerMs: number;
  /** Time at which the link will have carried all admitted bytes. */
  private freeAt: Instant = -Infinity;
  /** Mean size of a start. */
  private meanBytes = INITIAL_START_BYTES;

  /** Creates a pacer for a rate of `bytesPerS`, which may be infinite. */
  constructor(
    private readonly ctx: HostContext,
    bytesPerS: number,
  ) {
    this.bytesPerMs = bytesPerS / MS_PER_S;
  }

  /** Whether starts wait for their turn. */
  get hasWaitingStarts(): boolean {
    return this.waitMs() > 0;
  }

  /** Maximum number of starts in flight. */
  get maxStarts(): number {
    const starts = (IN_FLIGHT_MS * this.bytesPerMs) / this.meanBytes;
    return Math.max(MIN_STARTS, Math.floor(starts));
  }

  /**
   * Resolves with true when it is the turn of `bytes`; resolves with false, without admitting them,
   * if that would take too long.
   */
  async admit(bytes: number): Promise<boolean> {
    const wait = this.waitMs();
    if (wait > MAX_WAIT_MS) {
      return false;
    }
    this.freeAt = this.ctx.clock() + wait + bytes / this.bytesPerMs;
    this.meanBytes += NEWEST_WEIGHT * (bytes - this.meanBytes);
    if (wait > 0) {
      await pause(this.ctx, wait);
    }
    return true;
  }

  /** Returns how long a start would wait for its turn now; negative if the link has been idle. */
  private waitMs(): Millis {
    return Math.max(-BURST_MS, this.freeAt - this.ctx.clock());
  }
}
