/** Records the faults that a test injects, so that some guarantees are checked in fault-free periods only. */
import type { Instant, Millis } from '@paddlewind/domain';

/** A fault injected by a test. */
export interface FaultTime {
  readonly from: Instant;
  /** End of the fault; equal to `from` for an instantaneous one. */
  readonly until: Instant;
  /** What it affects: the log, the workers and the network to them, or the host of that name. */
  readonly of: 'log' | 'workers' | { readonly host: string };
}

/** Time in which hosts recover after a fault, in milliseconds, by the specification. */
export const RECOVERY_MS: Millis = 3_000;

/** All faults of a test. */
export class FaultTimes {
  private readonly faults: FaultTime[] = [];

  /** Records a fault. */
  add(fault: FaultTime): void {
    this.faults.push(fault);
  }

  /** Returns whether there was no fault from `from` to `until`. */
  isFaultFree(from: Instant, until: Instant): boolean {
    return !this.faults.some(fault => overlaps(fault, from, until));
  }

  /** Returns whether neither the log nor `host` had a fault from `from` to `until`. */
  isHostFaultFree(host: string, from: Instant, until: Instant): boolean {
    return !this.faults.some(
      fault => affectsHost(fault, host) && overlaps(fault, from, until),
    );
  }

  /** Returns the end times of all faults. */
  ends(): Instant[] {
    return this.faults.map(({ until }) => until);
  }
}

function overlaps(fault: FaultTime, from: Instant, until: Instant): boolean {
  return fault.from <= until && fault.until >= from;
}

function affectsHost({ of }: FaultTime, host: string): boolean {
  return typeof of === 'string' ? of === 'log' : of.host === host;
}
