/** Metrics of the policy against interference. */
import type { Action } from '@paddlewind/domain';
import { Counter, Gauge, type Registry } from 'prom-client';

/** What the policy counts. */
export interface InterferenceMetrics {
  acted(action: Action, taken: boolean): void;
  throttled(tasks: number): void;
}

/** Registers the metrics. */
export function createInterferenceMetrics(
  registry: Registry,
): InterferenceMetrics {
  const registers = [registry];
  const actions = new Counter({
    name: 'paddlewind_interference_actions_total',
    help: 'Actions against interference by kind, reason and whether they were carried out.',
    labelNames: ['kind', 'reason', 'taken'],
    registers,
  });
  const throttled = new Gauge({
    name: 'paddlewind_interference_throttled_tasks',
    help: 'Batch tasks that are throttled on workers of the shards decided on here.',
    registers,
  });
  return {
    acted: ({ kind, reason }, taken) => {
      actions.inc({ kind, reason, taken: String(taken) });
    },
    throttled: tasks => {
      throttled.set(tasks);
    },
  };
}
