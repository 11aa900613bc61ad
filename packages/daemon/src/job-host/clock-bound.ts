/** A lower bound of how far the clock of another process is ahead of the local one. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { PeerProcess } from '@paddlewind/ports/jobs';

/** Lifetime of the best bound, since a machine may have been suspended meanwhile. */
export const CLOCK_BOUND_LIFETIME_MS: Millis = 2_000;

/** What is known of the clock of a process. */
interface KnownClock {
  readonly process: string;
  readonly aheadMs: Millis;
  /** When the bound was determined. */
  readonly since: Instant;
}

/** The bound for the process on one host, which a later process replaces. */
export class ClockBound {
  private known: KnownClock | undefined;

  /** Name of the process; undefined before its first answer. */
  get process(): string | undefined {
    return this.known?.process;
  }

  /** How far its clock is ahead at the least. */
  get aheadMs(): Millis {
    return this.known?.aheadMs ?? 0;
  }

  /**
   * Updates the bound. An answer was given before it arrived, so the clock is ahead by at least the difference.
   * The largest bound is the tightest; it comes from the fastest answer.
   */
  update({ process, clock }: PeerProcess, now: Instant): void {
    const aheadMs = clock - now;
    const { known } = this;
    const isBetter =
      known?.process !== process ||
      aheadMs >= known.aheadMs ||
      now - known.since > CLOCK_BOUND_LIFETIME_MS;
    if (isBetter) {
      this.known = { process, aheadMs, since: now };
    }
  }
}
