/** Metrics of the interference policy. */
import type { Action } from '@paddlewind/domain';
import { Counter, Gauge, type Registry } from 'prom-client';

/** Metrics that the interference policy updates. */
export interface InterferenceMetrics {
  /** Counts an action; `taken` tells whether it was carried out. */
  countAction(action: Action, taken: boolean): void;
  /** Sets the number of batch tasks that are throttled now. */
  setThrottledTasks(tasks: number): void;
}

/** Registers the metrics of the interference policy. */
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
    countAction: ({ kind, reason }, taken) => {
      actions.inc({ kind, reason, taken: String(taken) });
    },
    setThrottledTasks: tasks => {
      throttled.set(tasks);
    },
  };
}
