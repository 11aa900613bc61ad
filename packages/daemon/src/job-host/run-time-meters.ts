/** Metrics of how well run times are expected. */
import type { RunTimes } from '@paddlewind/domain/jobs';
import { Histogram, type Registry } from 'prom-client';

/** Metrics of expected run times. */
export interface RunTimeMeters {
  /** A run took `ratio` times what the model in force expected before its end. */
  readonly ranFor: (model: RunTimes['kind'], ratio: number) => void;
}

/** Upper bounds: within a quarter, half or twice the expected time, and steps of the tail. */
const RATIO_BUCKETS = [0.25, 0.5, 0.8, 1.25, 2, 4, 8];

/** Registers the metrics of expected run times. */
export function createRunTimeMeters(registry: Registry): RunTimeMeters {
  const ratios = new Histogram({
    name: 'paddlewind_jobs_run_time_ratio',
    help: 'Run time at full speed relative to the expected one, by model of run times.',
    labelNames: ['model'],
    buckets: RATIO_BUCKETS,
    registers: [registry],
  });
  return {
    ranFor: (model, ratio) => {
      ratios.observe({ model }, ratio);
    },
  };
}
