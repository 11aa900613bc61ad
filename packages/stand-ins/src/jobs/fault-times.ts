/** When a test disturbed what, so that promises of calm times are judged in calm times only. */
import type { Instant, Millis } from '@paddlewind/domain';

/** A fault that a test has set. */
export interface FaultTime {
  readonly from: Instant;
  /** When it ends; `from` when it is over at once. */
  readonly until: Instant;
  /** What it disturbs: the log, workers and the ways to them, or the host of that name. */
  readonly of: 'log' | 'workers' | { readonly host: string };
}

/** Time after a fault in which hosts find their way back, in milliseconds, as the users' rules say. */
export const CONTACT_MS: Millis = 3_000;

/** All faults of a test. */
export class FaultTimes {
  private readonly faults: FaultTime[] = [];

  /** Notes a fault. */
  add(fault: FaultTime): void {
    this.faults.push(fault);
  }

  /** Tells whether nothing was disturbed from `from` to `until`. */
  isFaultFree(from: Instant, until: Instant): boolean {
    return !this.faults.some(fault => overlaps(fault, from, until));
  }

  /** Tells whether neither the log nor a host was disturbed from `from` to `until`. */
  isInTouch(host: string, from: Instant, until: Instant): boolean {
    return !this.faults.some(
      fault => touches(fault, host) && overlaps(fault, from, until),
    );
  }

  /** Ends of the faults. */
  ends(): Instant[] {
    return this.faults.map(({ until }) => until);
  }
}

function overlaps(fault: FaultTime, from: Instant, until: Instant): boolean {
  return fault.from <= until && fault.until >= from;
}

function touches({ of }: FaultTime, host: string): boolean {
  return typeof of === 'string' ? of === 'log' : of.host === host;
}
