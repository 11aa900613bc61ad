/** Counts over sliding windows in memory that is fixed in advance. */
import type { Instant, Millis } from '../core/time.js';

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Windows over which burn is reported, in milliseconds. */
export const BURN_WINDOWS_MS = [
  5 * MINUTE_MS,
  30 * MINUTE_MS,
  HOUR_MS,
  6 * HOUR_MS,
  3 * DAY_MS,
] as const;

/** A ring of buckets; windows up to `spanMs` are summed from it. */
interface Level {
  readonly bucketMs: Millis;
  readonly spanMs: Millis;
}

/** Windows up to an hour are exact to 10 s, longer ones to 10 minutes. */
const LEVELS: readonly Level[] = [
  { bucketMs: 10_000, spanMs: HOUR_MS },
  { bucketMs: 10 * MINUTE_MS, spanMs: 3 * DAY_MS },
];

/** Counts of `width` kinds over sliding windows. */
export interface WindowCounter {
  add(kind: number, now: Instant): void;
  /** Returns the counts by kind over the last `windowMs`, to within one bucket. */
  sum(windowMs: Millis, now: Instant): number[];
}

interface Ring {
  readonly level: Level;
  readonly size: number;
  readonly counts: Uint32Array;
  /** Number of the newest bucket. */
  newest: number;
}

function createRing(level: Level, width: number, now: Instant): Ring {
  const size = level.spanMs / level.bucketMs + 1;
  const counts = new Uint32Array(size * width);
  return { level, size, counts, newest: Math.floor(now / level.bucketMs) };
}

/** Empties the buckets between the newest and the one of `now`; an earlier `now` counts as the newest. */
function advance(ring: Ring, width: number, now: Instant): void {
  const bucket = Math.floor(now / ring.level.bucketMs);
  const passed = Math.min(bucket - ring.newest, ring.size);
  for (let step = 0; step < passed; step++) {
    const slot = (bucket - step) % ring.size;
    ring.counts.fill(0, slot * width, (slot + 1) * width);
  }
  ring.newest = Math.max(ring.newest, bucket);
}

function sumRing(ring: Ring, width: number, windowMs: Millis): number[] {
  const buckets = Math.min(
    ring.size,
    Math.ceil(windowMs / ring.level.bucketMs),
  );
  const sums = Array.from({ length: width }, () => 0);
  for (let step = 0; step < buckets; step++) {
    const bucket = ring.newest - step;
    const slot = ((bucket % ring.size) + ring.size) % ring.size;
    for (let kind = 0; kind < width; kind++) {
      sums[kind] = (sums[kind] ?? 0) + (ring.counts[slot * width + kind] ?? 0);
    }
  }
  return sums;
}

/** Starts empty at `now`, a monotonic instant that is not negative. */
export function createWindowCounter(
  width: number,
  now: Instant,
): WindowCounter {
  const rings = LEVELS.map(level => createRing(level, width, now));
  return {
    add(kind, at) {
      for (const ring of rings) {
        advance(ring, width, at);
        const slot = ring.newest % ring.size;
        const index = slot * width + kind;
        ring.counts[index] = (ring.counts[index] ?? 0) + 1;
      }
    },
    sum(windowMs, at) {
      const fits = rings.find(ring => ring.level.spanMs >= windowMs);
      const ring = fits ?? rings.at(-1);
      if (ring === undefined) {
        return [];
      }
      advance(ring, width, at);
      return sumRing(ring, width, windowMs);
    },
  };
}
