/** Logs and meters the period by which the leader forecasts loads, when it is found, changes or is dropped. */
import type { Millis } from '@paddlewind/domain';
import type { LoadPeriod } from '@paddlewind/domain/jobs';

import type { HostContext } from './context.js';

/** Relative change of a period that is logged; fits of the same period differ by less. */
const LOGGED_CHANGE = 0.1;

/** Follows the period in force. */
export class LoadPeriodLog {
  private current: LoadPeriod | undefined;
  private logged: Millis | undefined;

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
        { beforeMs: rounded(this.logged) },
        'leader: loads have no period any more',
      );
      this.logged = undefined;
    } else if (hasChanged(this.logged, period.periodMs)) {
      this.ctx.log.info(
        {
          periodMs: rounded(period.periodMs),
          beforeMs: rounded(this.logged),
          explained: Number(period.explained.toFixed(2)),
        },
        'leader: loads have a period',
      );
      this.logged = period.periodMs;
    }
  }
}

function hasChanged(logged: Millis | undefined, periodMs: Millis): boolean {
  return (
    logged === undefined || Math.abs(periodMs - logged) > LOGGED_CHANGE * logged
  );
}

function rounded(ms: Millis | undefined): Millis | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
