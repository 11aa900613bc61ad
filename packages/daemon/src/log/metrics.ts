/** Metrics of the log's streams; labels name classes of appends, not streams. */
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

import type { AppendClass } from './priority.js';

/** How an append ended. */
export type AppendOutcome = 'acknowledged' | 'not_run' | 'unknown';

/** Metrics of commits and reads. */
export interface LogMetrics {
  appended(
    priority: AppendClass,
    outcome: AppendOutcome,
    records: number,
    seconds: number,
  ): void;
  settledByReading(count: number): void;
  /** Counts an entry that could not be decoded, or a repeated record. */
  skipped(reason: 'malformed' | 'duplicate'): void;
  budget(perSecond: number): void;
}

const RECORD_BUCKETS = [1, 2, 4, 8, 16, 32, 64, 128, 256, 512];
const SECONDS_BUCKETS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 5];

/** Registers the metrics, or returns those that are registered already. */
export function createLogMetrics(registry: Registry): LogMetrics {
  const registers = [registry];
  const appends = once(
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
  const records = once(
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
  const seconds = once(
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
  const settled = once(
    registry,
    'paddlewind_log_settled_by_reading_total',
    (name: string) =>
      new Counter({
        name,
        help: 'Records whose lost answer was settled by reading back.',
        registers,
      }),
  );
  const skipped = once(
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
  const budget = once(
    registry,
    'paddlewind_log_append_budget_per_second',
    (name: string) =>
      new Gauge({ name, help: 'Appends a second allowed now.', registers }),
  );
  return {
    appended: (priority, outcome, count, span) => {
      appends.inc({ class: priority, outcome });
      records.observe(count);
      seconds.observe(span);
    },
    settledByReading: count => {
      settled.inc(count);
    },
    skipped: reason => {
      skipped.inc({ reason });
    },
    budget: perSecond => {
      budget.set(perSecond);
    },
  };
}

function once<M>(
  registry: Registry,
  name: string,
  create: (name: string) => M,
): M {
  const known = registry.getSingleMetric(name) as M | undefined;
  return known ?? create(name);
}
