/** Metrics of refused jobs and of the leader's forecast of capacity. */
import type { CapacityRow } from '@paddlewind/domain/jobs';
import { Counter, Gauge, type Registry } from 'prom-client';

/** Metrics of admission by capacity. */
export interface RoomMeters {
  /** A submitted job of a queue, of so many core-milliseconds, was refused. */
  readonly jobRefused: (queue: string, coreMs: number, why: string) => void;
  /** The leader has this forecast of capacity; empty on hosts that do not lead. */
  readonly forecast: (rows: readonly CapacityRow[]) => void;
}

const MS_PER_S = 1000;

/** Registers the metrics. */
export function createRoomMeters(registry: Registry): RoomMeters {
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
      refusals.inc({ queue, size: sizeClassOf(coreMs), why });
    },
    forecast: rows => {
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

/** Returns the smallest power of two that is at least the core-seconds of a job. */
function sizeClassOf(coreMs: number): number {
  return 2 ** Math.ceil(Math.log2(Math.max(1, coreMs / MS_PER_S)));
}
