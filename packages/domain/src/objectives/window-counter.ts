/** Counts events over sliding windows in a fixed amount of memory. */
import type { Instant, Millis } from '../core/time.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Windows for which burn is reported, in milliseconds. */
export const BURN_WINDOWS_MS = [
  5 * MINUTE_MS,
  30 * MINUTE_MS,
  HOUR_MS,
  6 * HOUR_MS,
  3 * DAY_MS,
] as const;

/** Bucket length of a ring, and the longest window that it covers. */
interface RingLayout {
  readonly bucketMs: Millis;
  readonly spanMs: Millis;
}

/** Windows up to an hour are accurate to 10 s, longer ones to 10 minutes. */
const RING_LAYOUTS: readonly RingLayout[] = [
  { bucketMs: 10_000, spanMs: HOUR_MS },
  { bucketMs: 10 * MINUTE_MS, spanMs: 3 * DAY_MS },
];

/** Counts events of several kinds over sliding windows. */
export interface WindowCounter {
  add(kind: number, now: Instant): void;
  /** Returns the counts by kind over the last `windowMs`, accurate to one bucket. */
  sum(windowMs: Millis, now: Instant): number[];
}

interface Ring {
  readonly layout: RingLayout;
  readonly bucketCount: number;
  readonly counts: Uint32Array;
  /** Number of the newest bucket, counted from instant 0. */
  newest: number;
}

function createRing(layout: RingLayout, kindCount: number, now: Instant): Ring {
  const bucketCount = layout.spanMs / layout.bucketMs + 1;
  const counts = new Uint32Array(bucketCount * kindCount);
  return {
    layout,
    bucketCount,
    counts,
    newest: Math.floor(now / layout.bucketMs),
  };
}

/** Clears the buckets after the newest one up to that of `now`; does nothing if `now` is earlier. */
function advance(ring: Ring, kindCount: number, now: Instant): void {
  const bucket = Math.floor(now / ring.layout.bucketMs);
  const passed = Math.min(bucket - ring.newest, ring.bucketCount);
  for (let step = 0; step < passed; step++) {
    const slot = (bucket - step) % ring.bucketCount;
    ring.counts.fill(0, slot * kindCount, (slot + 1) * kindCount);
  }
  ring.newest = Math.max(ring.newest, bucket);
}

function sumRing(ring: Ring, kindCount: number, windowMs: Millis): number[] {
  const buckets = Math.min(
    ring.bucketCount,
    Math.ceil(windowMs / ring.layout.bucketMs),
  );
  const sums = Array.from({ length: kindCount }, () => 0);
  for (let step = 0; step < buckets; step++) {
    const bucket = ring.newest - step;
    const slot =
      ((bucket % ring.bucketCount) + ring.bucketCount) % ring.bucketCount;
    for (let kind = 0; kind < kindCount; kind++) {
      sums[kind] =
        (sums[kind] ?? 0) + (ring.counts[slot * kindCount + kind] ?? 0);
    }
  }
  return sums;
}

/** Creates a counter of `kindCount` kinds of events; `now` is monotonic and not negative. */
export function createWindowCounter(
  kindCount: number,
  now: Instant,
): WindowCounter {
  const rings = RING_LAYOUTS.map(layout => createRing(layout, kindCount, now));
  return {
    add(kind, at) {
      for (const ring of rings) {
        advance(ring, kindCount, at);
        const slot = ring.newest % ring.bucketCount;
        const index = slot * kindCount + kind;
        ring.counts[index] = (ring.counts[index] ?? 0) + 1;
      }
    },
    sum(windowMs, at) {
      const fits = rings.find(ring => ring.layout.spanMs >= windowMs);
      const ring = fits ?? rings.at(-1);
      if (ring === undefined) {
        return [];
      }
      advance(ring, kindCount, at);
      return sumRing(ring, kindCount, windowMs);
    },
  };
}
