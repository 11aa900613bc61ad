/** A timeout that adapts to recent response times. */
import type { Millis } from '@paddlewind/domain';

import { POLL_TIMEOUT_MS, MAX_POLL_TIMEOUT_MS } from './timing.js';

/** Timeout as a multiple of the recent response time. */
const HEADROOM_FACTOR = 2;
/** Factor by which the remembered response time decays with each faster answer. */
const DECAY_FACTOR = 0.9;

/** Limits of the timeout. */
export interface TimeoutBounds {
  readonly leastMs: Millis;
  readonly mostMs: Millis;
}

const POLL_BOUNDS: TimeoutBounds = {
  leastMs: POLL_TIMEOUT_MS,
  mostMs: MAX_POLL_TIMEOUT_MS,
};

/**
 * Adapts the timeout of calls to observed response times. On a link that is too slow for all workers of a
 * leader, a worker that answers late must not count as unresponsive.
 */
export class AdaptiveTimeout {
  private slowestMs: Millis = 0;

  /** Creates a timeout that starts at its minimum. */
  constructor(private readonly bounds: TimeoutBounds = POLL_BOUNDS) {}

  /** Timeout of the next answer, in addition to the time the worker may wait by itself. */
  get ms(): Millis {
    const { leastMs, mostMs } = this.bounds;
    const needed = Math.ceil(HEADROOM_FACTOR * this.slowestMs);
    return Math.min(mostMs, Math.max(leastMs, needed));
  }

  /** Records the response time of an answer, without the time the worker waited by itself. */
  record(tookMs: Millis): void {
    this.slowestMs = Math.max(tookMs, DECAY_FACTOR * this.slowestMs);
  }
}
