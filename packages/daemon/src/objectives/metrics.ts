/** Metrics of service-level objectives. */
import { Counter, Gauge, type Registry } from 'prom-client';

import { alertsOf, type BurnRow } from './rows.js';

/** Counters of objectives. */
export interface ObjectiveMetrics {
  readonly requests: Counter<'service' | 'outcome'>;
}

/** Registers the counters. */
export function createObjectiveMetrics(registry: Registry): ObjectiveMetrics {
  return {
    requests: new Counter({
      name: 'paddlewind_objective_requests_total',
      help: 'Requests that count towards an objective, by outcome',
      labelNames: ['service', 'outcome'],
      registers: [registry],
    }),
  };
}

/**
 * Registers gauges that read the rows at each scrape. The rows must not be broken down by neighbour,
 * which would make the number of labels unbounded.
 */
export function registerBurnGauges(
  registry: Registry,
  rows: () => readonly BurnRow[],
): void {
  const registers = [registry];
  new Gauge({
    name: 'paddlewind_objective_burn_rate',
    help: 'Rate at which the error budget is spent; 1 spends it in its period. An empty zone is all zones',
    labelNames: ['service', 'availability_zone', 'window_seconds'],
    registers,
    collect() {
      this.reset();
      for (const row of rows()) {
        const labels = {
          service: row.service,
          availability_zone: row.availabilityZone,
          window_seconds: row.windowSeconds,
        };
        this.set(labels, row.burnRate);
      }
    },
  });
  new Gauge({
    name: 'paddlewind_objective_alert',
    help: '1 while the budget burns too fast over a long and a short window, by severity',
    labelNames: ['service', 'severity'],
    registers,
    collect() {
      this.reset();
      const current = rows();
      for (const service of new Set(current.map(row => row.service))) {
        this.set({ service, severity: 'fast' }, 0);
        this.set({ service, severity: 'slow' }, 0);
      }
      for (const alert of alertsOf(current)) {
        this.set({ service: alert.service, severity: alert.severity }, 1);
      }
    },
  });
}
