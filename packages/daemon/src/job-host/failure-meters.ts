/** Metrics of failed jobs. */
import type { FailureReason } from '@paddlewind/domain/jobs';
import { Counter, type Registry } from 'prom-client';

/** Records jobs that have failed. */
export interface FailureMeters {
  /** The leader has decided that a job has failed. */
  readonly jobFailed: (reason: FailureReason) => void;
}

/** Registers the metrics. */
export function createFailureMeters(registry: Registry): FailureMeters {
  const failed = new Counter({
    name: 'paddlewind_jobs_failed_total',
    help: 'Jobs that have failed while this host led, by reason.',
    labelNames: ['reason'],
    registers: [registry],
  });
  return {
    jobFailed: reason => {
      failed.inc({ reason });
    },
  };
}
