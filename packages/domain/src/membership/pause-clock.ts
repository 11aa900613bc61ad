/** A clock that stands still while this process is paused, so that pauses are not held against peers. */
import type { Instant, Millis } from '../core/time.js';

/** Time without the pauses of this process. */
export interface PauseClock {
  /** Takes a look at the real clock and returns the running time. */
  advance(now: Instant): Instant;
  /** Real instant at which the last pause was noticed; -Infinity when there was none. */
  lastPauseAt(): Instant;
}

/** Starts at `now`; of a gap between looks longer than `pauseMs` only `pauseMs` counts. */
export function createPauseClock(now: Instant, pauseMs: Millis): PauseClock {
  let lastLook = now;
  let paused = 0;
  let lastPauseAt = -Infinity;
  return {
    advance(at) {
      const gap = at - lastLook;
      lastLook = Math.max(lastLook, at);
      if (gap > pauseMs) {
        paused += gap - pauseMs;
        lastPauseAt = at;
      }
      return lastLook - paused;
    },
    lastPauseAt: () => lastPauseAt,
  };
}
