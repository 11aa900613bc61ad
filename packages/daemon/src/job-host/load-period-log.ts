/** Logs when the period by which the leader forecasts loads is found, changes or is dropped, and meters it. */
import type { Millis } from '@paddlewind/domain';
import type { LoadPeriod } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';

/** Relative change above which a period is logged again; fits of the same period differ by less. */
const LOGGED_CHANGE = 0.1;

/** Follows the period in force. */
export class LoadPeriodLog {
  private current: LoadPeriod | undefined;
  private loggedPeriodMs: Millis | undefined;

  /** Creates a log that knows of no period. */
  constructor(private readonly ctx: Pick<HostContext, 'log' | 'meters'>) {}

  /** Notes the period that is in force now. */
  update(period: LoadPeriod | undefined): void {
    if (period === this.current) {
      return;
    }
    this.current = period;
    this.ctx.meters.loadPeriod(period);
    if (period === undefined) {
      this.ctx.log.info(
        { beforeMs: rounded(this.loggedPeriodMs) },
        'leader: loads have no period any more',
      );
      this.loggedPeriodMs = undefined;
    } else if (hasChanged(this.loggedPeriodMs, period.periodMs)) {
      this.ctx.log.info(
        {
          periodMs: rounded(period.periodMs),
          beforeMs: rounded(this.loggedPeriodMs),
          explained: Number(period.explained.toFixed(2)),
        },
        'leader: loads have a period',
      );
      this.loggedPeriodMs = period.periodMs;
    }
  }
}

function hasChanged(beforeMs: Millis | undefined, periodMs: Millis): boolean {
  return (
    beforeMs === undefined ||
    Math.abs(periodMs - beforeMs) > LOGGED_CHANGE * beforeMs
  );
}

function rounded(ms: Millis | undefined): Millis | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
