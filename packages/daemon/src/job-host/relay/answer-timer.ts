/** Times the answer to a call without counting hold-ups of this process as time that the answer took. */
import type { Instant, Millis } from '@paddlewind/domain';

import type { HostContext } from '../context.js';

/** Times one answer, and tells whether it was late when everything that had arrived was handled. */
export class AnswerTimer {
  private readonly startedAt: Instant;
  private isLate = false;
  private cancel: () => void;

  /** Starts the timer; an answer counts as late after `lateAfterMs`. */
  constructor(
    private readonly ctx: HostContext,
    private readonly lateAfterMs: Millis,
  ) {
    this.startedAt = ctx.clock();
    this.cancel =
      lateAfterMs === Infinity
        ? () => undefined
        : ctx.schedule(lateAfterMs, () => {
            // A busy process handles due timers before answers that arrived earlier: give these a turn.
            this.cancel = ctx.schedule(0, () => {
              this.isLate = true;
            });
          });
  }

  /** Stops the timer; returns how long the answer took, at most the limit if it was not late. */
  stop(): Millis {
    this.cancel();
    const tookMs = this.ctx.clock() - this.startedAt;
    return this.isLate ? tookMs : Math.min(tookMs, this.lateAfterMs);
  }
}
