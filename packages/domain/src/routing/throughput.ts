/** The rate at which requests leave the servers, for estimates of waiting times. */
import type { Instant, Millis } from '../core/time.js';

/** Time after which a past end of a try counts for 1/e: at least, and in mean response times. */
const MIN_MEMORY_MS = 500;
const MEMORY_MEANS = 4;

/** A rate that forgets, the slower the longer the mean response time. */
export interface Throughput {
  /** Counts one end of a try. */
  record(now: Instant, meanMs: Millis): void;
  /** Ends of tries per millisecond. */
  perMs(now: Instant, meanMs: Millis): number;
}

/** Creates a rate of 0. */
export function createThroughput(): Throughput {
  let count = 0;
  let countedAt = 0;
  let firstAt: Instant | undefined;

  function decay(now: Instant, memoryMs: Millis): void {
    count *= Math.exp(-Math.max(0, now - countedAt) / memoryMs);
    countedAt = Math.max(countedAt, now);
  }

  return {
    record(now, meanMs) {
      firstAt ??= now;
      decay(now, memoryOf(meanMs));
      count += 1;
    },
    perMs(now, meanMs) {
      if (firstAt === undefined) {
        return 0;
      }
      const memoryMs = memoryOf(meanMs);
      decay(now, memoryMs);
      return count / observedMs(now - firstAt, memoryMs);
    },
  };
}

/** Time that the decayed count stands for, `sinceMs` after the first event. */
function observedMs(sinceMs: Millis, memoryMs: Millis): Millis {
  const share = 1 - Math.exp(-sinceMs / memoryMs);
  return Math.max(1, memoryMs * share);
}

function memoryOf(meanMs: Millis): Millis {
  return Math.max(MIN_MEMORY_MS, MEMORY_MEANS * meanMs);
}
