/** Metrics of how far run times are from the expected ones. */
import type { RunTimes } from '@paddlewind/domain/jobs';
import { Histogram, type Registry } from 'prom-client';

/** Records run times relative to the expected ones. */
export interface RunTimeMeters {
  /** A run has taken `ratio` times what the model in force expected just before its end. */
  readonly runTimeMeasured: (model: RunTimes['kind'], ratio: number) => void;
}

/** Upper bounds of the ratio: factors of 1.25, 2 and 4 to either side of the expected time, and 8 for the tail. */
const RATIO_BUCKETS = [0.25, 0.5, 0.8, 1.25, 2, 4, 8];

/** Registers the metrics. */
export function createRunTimeMeters(registry: Registry): RunTimeMeters {
  const ratios = new Histogram({
    name: 'paddlewind_jobs_run_time_ratio',
    help: 'Run time at full speed relative to the expected one, by model of run times.',
    labelNames: ['model'],
    buckets: RATIO_BUCKETS,
    registers: [registry],
  });
  return {
    runTimeMeasured: (model, ratio) => {
      ratios.observe({ model }, ratio);
    },
  };
}
