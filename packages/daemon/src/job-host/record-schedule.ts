/** When a leader writes the records that it repeats: heartbeats and what it has learned. */
import type { Clock, Instant } from '@paddlewind/domain';

import {
  CLAIM_INTERVAL_MS,
  IDLE_HEARTBEAT_MS,
  LEARNED_RECORD_INTERVAL_MS,
  SILENCE_REPORT_MS,
} from './timing.js';

/** What a heartbeat depends on besides the time. */
export interface HeartbeatNeeds {
  /** Whether nothing else is to be written now. */
  readonly isIdle: boolean;
  /** Whether a worker has become unresponsive since the last heartbeat. */
  readonly hasNewSilence: boolean;
}

/** The times of the repeated records of one leader. */
export class RecordSchedule {
  private wroteAt: Instant;
  private learnedAt: Instant;
  /**
   * The first round writes a heartbeat, so that the leases learned from earlier leaders are handed over however
   * soon this leader is replaced.
   */
  private heartbeatAt: Instant = -Infinity;

  /** Creates the schedule of a leader that has written its claim. */
  constructor(private readonly clock: Clock) {
    this.wroteAt = clock();
    this.learnedAt = this.wroteAt;
  }

  /** Notes that decisions were written. */
  noteWritten(): void {
    this.wroteAt = this.clock();
  }

  /** Whether a heartbeat is due; it counts as written then. */
  takeHeartbeat({ isIdle, hasNewSilence }: HeartbeatNeeds): boolean {
    const now = this.clock();
    const idleMs = isIdle ? now - this.wroteAt : 0;
    const dueMs = hasNewSilence ? SILENCE_REPORT_MS : CLAIM_INTERVAL_MS;
    if (idleMs < IDLE_HEARTBEAT_MS && now - this.heartbeatAt < dueMs) {
      return false;
    }
    this.heartbeatAt = now;
    return true;
  }

  /** Whether a record of what was learned is due; it counts as written then. */
  takeLearned(): boolean {
    const now = this.clock();
    if (now - this.learnedAt < LEARNED_RECORD_INTERVAL_MS) {
      return false;
    }
    this.learnedAt = now;
    return true;
  }
}
