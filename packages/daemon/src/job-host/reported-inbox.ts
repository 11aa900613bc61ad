/** The offset in the inbox that leaders report in their heartbeats. */
import type { Instant, Millis } from '@paddlewind/domain';

import type { Replica } from './replica.js';
import { CLAIM_INTERVAL_MS } from './timing.js';

/** Time between two heartbeats of a leader that reads and restates jobs without a pause. */
const MAX_HEARTBEAT_GAP_MS: Millis = 2 * CLAIM_INTERVAL_MS;

/**
 * The offset that a leader reports: submissions before it were known to a leader at about the heartbeat before this
 * one. After a pause, or an outage of the log, the last offset is repeated once, also that of an earlier leader, since
 * what was submitted meanwhile may not be restated yet.
 */
export class ReportedInbox {
  private reportedAt: Instant = -Infinity;
  private upTo: number;

  /** Continues from the offset that was last reported. */
  constructor(private readonly replica: Pick<Replica, 'state' | 'nextOffset'>) {
    this.upTo = replica.state.inboxUpTo;
  }

  /** Returns the offset to report at `now`. */
  next(now: Instant): number {
    if (now - this.reportedAt <= MAX_HEARTBEAT_GAP_MS) {
      this.upTo = this.replica.nextOffset('inbox');
    }
    this.reportedAt = now;
    return this.upTo;
  }
}
