/** Own evidence on addresses from connects that fail, sooner than the host list tells. */
import type { Instant } from '../core/time.js';

/** Failed connects in a row after which an address counts as unreachable. */
const FAILURES_IN_A_ROW = 2;

/** Evidence counts for this long after the last failure. */
const EVIDENCE_MS = 10_000;

/** Addresses remembered at most. */
const MAX_ADDRESSES = 8_192;

/** Evidence on addresses. */
export interface Reachability {
  report(address: string, reached: boolean, now: Instant): void;
  isUnreachable(address: string, now: Instant): boolean;
}

interface Failures {
  count: number;
  expiresAt: Instant;
}

/** Starts without evidence. */
export function createReachability(): Reachability {
  const failures = new Map<string, Failures>();

  function expire(now: Instant): void {
    for (const [address, failed] of failures) {
      if (failed.expiresAt <= now) {
        failures.delete(address);
      }
    }
  }

  return {
    report(address, reached, now) {
      if (reached) {
        failures.delete(address);
        return;
      }
      expire(now);
      const count = (failures.get(address)?.count ?? 0) + 1;
      if (count > 1 || failures.size < MAX_ADDRESSES) {
        failures.set(address, { count, expiresAt: now + EVIDENCE_MS });
      }
    },
    isUnreachable(address, now) {
      const failed = failures.get(address);
      return (
        failed !== undefined &&
        failed.count >= FAILURES_IN_A_ROW &&
        failed.expiresAt > now
      );
    },
  };
}
