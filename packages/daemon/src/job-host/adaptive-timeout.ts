/** How long answers may take. */
import type { Millis } from '@paddlewind/domain';

import { LOOK_SLACK_MS, MAX_LOOK_SLACK_MS } from './timing.js';

/** An answer may take this many times as long as the last ones. */
const HEADROOM = 2;
/** Share of a longest time that is left with each answer that took less. */
const FADING = 0.9;

/** Bounds of the time for an answer. */
export interface SlackBounds {
  readonly leastMs: Millis;
  readonly mostMs: Millis;
}

const LOOK_BOUNDS: SlackBounds = {
  leastMs: LOOK_SLACK_MS,
  mostMs: MAX_LOOK_SLACK_MS,
};

/**
 * Adapts the time for an answer to what answers were seen to take, as on a link that carries too little for
 * all workers of a leader: one that answers late is not silent.
 */
export class AdaptiveTimeout {
  private tookMs: Millis = 0;

  /** Creates a slack of the least time. */
  constructor(private readonly bounds: SlackBounds = LOOK_BOUNDS) {}

  /** Time for the next answer, beyond the worker's own wait. */
  get ms(): Millis {
    const { leastMs, mostMs } = this.bounds;
    const needed = Math.ceil(HEADROOM * this.tookMs);
    return Math.min(mostMs, Math.max(leastMs, needed));
  }

  /** Notes what an answer took beyond the worker's own wait. */
  record(tookMs: Millis): void {
    this.tookMs = Math.max(tookMs, FADING * this.tookMs);
  }
}
