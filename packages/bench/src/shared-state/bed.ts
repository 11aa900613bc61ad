/** What the benchmarks of the log and the configuration run on: virtual time and a log in memory. */
import type { PartContext } from '@paddlewind/daemon';
import { seededRandom } from '@paddlewind/domain';
import {
  createMemoryLog,
  createVirtualTime,
  type MemoryLog,
  type VirtualTime,
} from '@paddlewind/stand-ins';
import { build, type Histogram } from 'hdr-histogram-js';
import { pino } from 'pino';
import { Registry } from 'prom-client';

/** A log with its time. */
export interface Bed {
  readonly time: VirtualTime;
  readonly log: MemoryLog;
}

/** How fast the log answers. */
export interface LogSpeed {
  readonly appendMs: number;
  readonly readMs: number;
}

/** A log that answers as the brief's usually does, and one that is slow. */
export const LOG_SPEEDS = {
  fast: { appendMs: 20, readMs: 5 },
  slow: { appendMs: 200, readMs: 50 },
} as const satisfies Record<string, LogSpeed>;

/** Creates a bed of a given speed. */
export function createBed(speed: LogSpeed): Bed {
  const time = createVirtualTime();
  const log = createMemoryLog(time);
  log.setDelay(speed);
  return { time, log };
}

/** Returns the context of one host's part. */
export function contextOf(
  time: Pick<PartContext, 'clock' | 'schedule'>,
  seed: number,
): PartContext {
  return {
    ...time,
    random: seededRandom(seed),
    log: pino({ level: 'silent' }),
    metrics: new Registry(),
  };
}

const TENTHS = 10;

/** A histogram of milliseconds, kept in tenths. */
export interface MillisHistogram {
  add(ms: number): void;
  quantiles(prefix: string): Record<string, number>;
}

/** Creates an empty histogram. */
export function createMillisHistogram(): MillisHistogram {
  const histogram: Histogram = build();
  const at = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / TENTHS;
  return {
    add: ms => {
      histogram.recordValue(Math.round(ms * TENTHS));
    },
    quantiles: prefix => ({
      [`${prefix}P50Ms`]: at(50),
      [`${prefix}P99Ms`]: at(99),
      [`${prefix}MaxMs`]: histogram.maxValue / TENTHS,
    }),
  };
}
