/** Accounts for the time that parts of a host take on its event loop. */
import type { Clock, Instant, Millis } from '@paddlewind/domain';

/** The parts that are told apart; everything else is in none of them. */
export const HOST_PARTS = [
  'planning',
  'moves',
  'limits',
  'account',
  'records',
  'reports',
  'orders',
  'starts',
  'polls',
  'proxies',
  'summary',
  'logging',
] as const;

/** A part of a host. */
export type HostPart = (typeof HOST_PARTS)[number];

/** Adds up the time of each part. Work of another part within a part counts only for that other part. */
export class PartTimes {
  private readonly totals = new Map<HostPart, Millis>();
  private current: HostPart | undefined;
  private since: Instant = 0;

  /** Creates an account in which no part has taken any time. */
  constructor(private readonly clock: Clock) {}

  /** Does work of a part, without waiting for anything, and returns its result. */
  measure<T>(part: HostPart, work: () => T): T {
    const outer = this.current;
    this.switchTo(part);
    try {
      return work();
    } finally {
      this.switchTo(outer);
    }
  }

  /** Returns the time that a part has taken so far. */
  totalMs(part: HostPart): Millis {
    return this.totals.get(part) ?? 0;
  }

  private switchTo(part: HostPart | undefined): void {
    const now = this.clock();
    if (this.current !== undefined) {
      this.totals.set(
        this.current,
        this.totalMs(this.current) + now - this.since,
      );
    }
    this.current = part;
    this.since = now;
  }
}
