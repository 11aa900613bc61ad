/** Metrics of admission by capacity: refused jobs and the leader's forecast of capacity. */
import type { CapacityRow } from '@paddlewind/domain/jobs';
import { Counter, Gauge, type Registry } from 'prom-client';

/** Records refusals and forecasts. */
export interface CapacityMeters {
  /** A submitted job of a queue, estimated at `coreMs` core-milliseconds, was refused for the reason `why`. */
  readonly jobRefused: (queue: string, coreMs: number, why: string) => void;
  /** The leader has made this forecast of capacity; it is empty on hosts that do not lead. */
  readonly capacityForecast: (rows: readonly CapacityRow[]) => void;
}

const MS_PER_S = 1000;

/** Registers the metrics. */
export function createCapacityMeters(registry: Registry): CapacityMeters {
  const registers = [registry];
  const refusals = new Counter({
    name: 'paddlewind_jobs_submissions_refused_total',
    help: 'Submissions that were refused, by queue, size (core-seconds, up to this power of two) and reason.',
    labelNames: ['queue', 'size', 'why'],
    registers,
  });
  const labelNames = ['service', 'kind', 'priority'];
  const backlog = new Gauge({
    name: 'paddlewind_jobs_forecast_backlog_core_seconds',
    help: 'Work that accepted jobs of a priority and those before it still need, by service and kind of capacity.',
    labelNames,
    registers,
  });
  const rate = new Gauge({
    name: 'paddlewind_jobs_forecast_rate_cores',
    help: 'Core-seconds of this work that are completed per second while tasks wait.',
    labelNames,
    registers,
  });
  return {
    jobRefused: (queue, coreMs, why) => {
      refusals.inc({ queue, size: sizeLabelOf(coreMs), why });
    },
    capacityForecast: rows => {
      backlog.reset();
      rate.reset();
      for (const row of rows) {
        const { service, kind, priority } = row;
        const labels = { service, kind, priority };
        backlog.set(labels, row.backlog / MS_PER_S);
        rate.set(labels, row.rate / MS_PER_S);
      }
    },
  };
}

/** Returns the smallest power of two that is at least the core-seconds of a job, and at least 1. */
function sizeLabelOf(coreMs: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, coreMs / MS_PER_S)));
}
