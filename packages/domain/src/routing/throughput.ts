/** The rate at which requests leave the servers, for estimates of waiting times. */
import type { Instant, Millis } from '../core/time.js';

/** Time after which a past end of a try counts for 1/e. */
const MEMORY_MS = 500;

/** A rate that forgets. */
export interface Throughput {
  /** Counts one end of a try. */
  record(now: Instant): void;
  /** Ends of tries per millisecond. */
  perMs(now: Instant): number;
}

/** Creates a rate of 0 that starts at `startedAt`. */
export function createThroughput(): Throughput {
  let count = 0;
  let countedAt = 0;
  let firstAt: Instant | undefined;

  function decay(now: Instant): void {
    count *= Math.exp(-Math.max(0, now - countedAt) / MEMORY_MS);
    countedAt = Math.max(countedAt, now);
  }

  return {
    record(now) {
      firstAt ??= now;
      decay(now);
      count += 1;
    },
    perMs(now) {
      if (firstAt === undefined) {
        return 0;
      }
      decay(now);
      return count / observedMs(now - firstAt);
    },
  };
}

/** Time that the decayed count stands for, `sinceMs` after the first event. */
function observedMs(sinceMs: Millis): Millis {
  const share = 1 - Math.exp(-sinceMs / MEMORY_MS);
  return Math.max(1, MEMORY_MS * share);
}
