/** Metrics of the period by which loads of serving tasks are forecast. */
import type { LoadPeriod } from '@paddlewind/domain/jobs';
import { Gauge, type Registry } from 'prom-client';

/** Records the period. */
export interface LoadPeriodMeters {
  /** The leader forecasts loads by this period; undefined if it has none, and on hosts that do not lead. */
  readonly loadPeriod: (period: LoadPeriod | undefined) => void;
}

const MS_PER_S = 1000;

/** Registers the metrics. */
export function createLoadPeriodMeters(registry: Registry): LoadPeriodMeters {
  const registers = [registry];
  const periodS = new Gauge({
    name: 'paddlewind_jobs_load_period_seconds',
    help: 'Period by which the leader forecasts the loads of serving tasks; 0 if it has none and on other hosts.',
    registers,
  });
  const explained = new Gauge({
    name: 'paddlewind_jobs_load_period_explained_ratio',
    help: 'Fraction of the variance of these loads that the period explains; 0 without one.',
    registers,
  });
  return {
    loadPeriod: period => {
      periodS.set((period?.periodMs ?? 0) / MS_PER_S);
      explained.set(period?.explained ?? 0);
    },
  };
}
