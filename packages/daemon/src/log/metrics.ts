/** Metrics of the log; labels name append classes instead of streams. */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

import type { AppendClass } from './priority.js';

/** Outcome of an append. */
export type AppendOutcome = 'acknowledged' | 'not_run' | 'unknown';

/** Metrics of appends and reads. */
export interface LogMetrics {
  appended(
    appendClass: AppendClass,
    outcome: AppendOutcome,
    records: number,
    seconds: number,
  ): void;
  /** Counts records whose lost replies were settled by reading the stream back. */
  settledByReading(count: number): void;
  /** Counts a skipped entry that could not be decoded, or a skipped duplicate record. */
  skipped(reason: 'malformed' | 'duplicate'): void;
  setBudget(perSecond: number): void;
}

const RECORD_BUCKETS = [1, 2, 4, 8, 16, 32, 64, 128, 256, 512];
const SECONDS_BUCKETS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 5];

/** Registers the metrics, or reuses those that are already registered. */
export function createLogMetrics(registry: Registry): LogMetrics {
  const registers = [registry];
  const appends = getOrCreate(
    registry,
    'paddlewind_log_appends_total',
    (name: string) =>
      new Counter({
        name,
        help: 'Appends to the log by class and outcome.',
        labelNames: ['class', 'outcome'],
        registers,
      }),
  );
  const records = getOrCreate(
    registry,
    'paddlewind_log_batch_records',
    (name: string) =>
      new Histogram({
        name,
        help: 'Records committed together in one append.',
        buckets: RECORD_BUCKETS,
        registers,
      }),
  );
  const seconds = getOrCreate(
    registry,
    'paddlewind_log_append_seconds',
    (name: string) =>
      new Histogram({
        name,
        help: 'Time until the log answered an append.',
        buckets: SECONDS_BUCKETS,
        registers,
      }),
  );
  const settled = getOrCreate(
    registry,
    'paddlewind_log_settled_by_reading_total',
    (name: string) =>
      new Counter({
        name,
        help: 'Records whose lost answer was settled by reading back.',
        registers,
      }),
  );
  const skipped = getOrCreate(
    registry,
    'paddlewind_log_skipped_records_total',
    (name: string) =>
      new Counter({
        name,
        help: 'Entries and records that every host skips alike.',
        labelNames: ['reason'],
        registers,
      }),
  );
  const budget = getOrCreate(
    registry,
    'paddlewind_log_append_budget_per_second',
    (name: string) =>
      new Gauge({ name, help: 'Appends a second allowed now.', registers }),
  );
  return {
    appended: (appendClass, outcome, count, durationSeconds) => {
      appends.inc({ class: appendClass, outcome });
      records.observe(count);
      seconds.observe(durationSeconds);
    },
    settledByReading: count => {
      settled.inc(count);
    },
    skipped: reason => {
      skipped.inc({ reason });
    },
    setBudget: perSecond => {
      budget.set(perSecond);
    },
  };
}

function getOrCreate<M>(
  registry: Registry,
  name: string,
  create: (name: string) => M,
): M {
  const known = registry.getSingleMetric(name) as M | undefined;
  return known ?? create(name);
}
