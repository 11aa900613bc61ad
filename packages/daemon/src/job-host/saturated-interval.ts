/** Spaces out work of a saturated host. */
import type { Instant, Millis } from '@paddlewind/domain';

import type { HostContext } from './context.js';
import { SATURATED_SUPERVISION_INTERVAL_MS } from './timing.js';

/** Work that is always due, but only once in an interval while the host is saturated. */
export class SaturatedInterval {
  private doneAt: Instant;

  /** Creates the interval, which starts now. */
  constructor(
    private readonly ctx: Pick<HostContext, 'clock' | 'isSaturated'>,
    private readonly intervalMs: Millis,
  ) {
    this.doneAt = ctx.clock();
  }

  /** Whether the work is due; it counts as done then. */
  isDue(): boolean {
    const now = this.ctx.clock();
    if (this.ctx.isSaturated() && now - this.doneAt < this.intervalMs) {
      return false;
    }
    this.doneAt = now;
    return true;
  }
}

/** Returns the interval at which all open runs are looked over. */
export function supervisionOf(ctx: HostContext): SaturatedInterval {
  return new SaturatedInterval(ctx, SATURATED_SUPERVISION_INTERVAL_MS);
}
