/** When a worker answered the polls of a leader. */
import type { Instant, Millis } from '@paddlewind/domain';

import type { HostContext } from './context.js';

/** Times of the answers of one incarnation of a worker. */
export class ContactTimes {
  private firstAt: Instant = Infinity;
  private lastAt: Instant = Infinity;
  /** Time since which nobody waits for ends at the worker; undefined if it ran nothing then. */
  private unreadSince: Instant | undefined;

  /** Creates the times of a worker that has not answered yet. */
  constructor(private readonly ctx: Pick<HostContext, 'clock' | 'waits'>) {}

  /** Notes an answer; returns whether it is the first one. */
  noteAnswer(openRuns: number): boolean {
    const isFirst = this.firstAt === Infinity;
    this.lastAt = this.ctx.clock();
    this.unreadSince = openRuns > 0 ? this.lastAt : undefined;
    if (isFirst) {
      this.firstAt = this.lastAt;
    }
    return isFirst;
  }

  /** Notes that the worker is polled: ends at it are waited for from now on. */
  notePoll(): void {
    const { clock, waits } = this.ctx;
    if (this.unreadSince !== undefined) {
      waits.note('read', clock() - this.unreadSince);
      this.unreadSince = undefined;
    }
  }

  /** Time since the first answer. */
  get sinceFirstMs(): Millis {
    return Math.round(this.ctx.clock() - this.firstAt);
  }

  /** Time since the last answer. */
  get sinceLastMs(): Millis {
    return Math.round(this.ctx.clock() - this.lastAt);
  }
}
