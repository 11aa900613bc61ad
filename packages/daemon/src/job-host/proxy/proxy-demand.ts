/** Whether a leader needs other hosts to call workers for it. */
import type { Instant, Millis } from '@paddlewind/domain';

/** How long the loop has to be saturated without a break before others call: two samples of its use. */
const MIN_SATURATED_MS: Millis = 400;
/** How long the loop has to have time to spare before the leader calls by itself again. */
const MIN_RELAXED_MS: Millis = 10_000;
/** Busy share of the loop, in percent, below which the calls of the others fit in as well. */
const RELAXED_PERCENT = 30;

/** Use of the leader's event loop. */
export interface LoopLoad {
  readonly isSaturated: boolean;
  /** Busy share of the last sample, in percent. */
  readonly busyPercent: number;
}

/** Follows the use of the loop; small leaders that keep up never need others. */
export class ProxyDemand {
  private saturatedSince: Instant | undefined;
  private relaxedSince: Instant | undefined;

  /** Creates the demand of a leader; `active` if the last one needed others. */
  constructor(private active = false) {}

  /** Whether others are needed. */
  get isActive(): boolean {
    return this.active;
  }

  /** Notes the use of the loop now. */
  update({ isSaturated, busyPercent }: LoopLoad, now: Instant): void {
    this.saturatedSince = isSaturated
      ? (this.saturatedSince ?? now)
      : undefined;
    const isRelaxed = busyPercent < RELAXED_PERCENT;
    this.relaxedSince = isRelaxed ? (this.relaxedSince ?? now) : undefined;
    if (now - (this.saturatedSince ?? now) >= MIN_SATURATED_MS) {
      this.active = true;
    } else if (now - (this.relaxedSince ?? now) >= MIN_RELAXED_MS) {
      this.active = false;
    }
  }
}
