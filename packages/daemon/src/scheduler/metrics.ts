/** Metrics of the scheduler. */
import type { Millis } from '@paddlewind/domain';
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';

import type { SchedulerParts, ShardCounts } from './types.js';

/** How a sync with a worker ended. */
export type SyncResult = 'answered' | 'refused' | 'unanswered';

/** What the scheduler counts. */
export interface SchedulerMetrics {
  decided(kind: string): void;
  synced(result: SyncResult): void;
  /** Time from the folded decision to the agent's acknowledgement of a start. */
  started(span: Millis): void;
}

/** What the parts of a shard's owner are given. */
export interface OwnerParts extends SchedulerParts {
  readonly meters: SchedulerMetrics;
}

const START_BUCKETS = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5];
const TASK_STATES = ['running', 'queued', 'held'] as const;

/** Registers the metrics; `decided` tells the tasks of the shards that this host decides on. */
export function createSchedulerMetrics(
  registry: Registry,
  decided: () => readonly ShardCounts[],
): SchedulerMetrics {
  const registers = [registry];
  const decisions = new Counter({
    name: 'paddlewind_scheduler_decisions_total',
    help: 'Decisions that this host wrote, by kind.',
    labelNames: ['kind'],
    registers,
  });
  const syncs = new Counter({
    name: 'paddlewind_scheduler_syncs_total',
    help: 'Syncs with workers, by result.',
    labelNames: ['result'],
    registers,
  });
  const starts = new Histogram({
    name: 'paddlewind_scheduler_start_seconds',
    help: 'Time from a recorded start to its acknowledgement by the agent.',
    buckets: START_BUCKETS,
    registers,
  });
  new Gauge({
    name: 'paddlewind_scheduler_tasks',
    help: 'Tasks of the shards that this host decides on, by state.',
    labelNames: ['state'],
    registers,
    collect() {
      const shards = decided();
      for (const state of TASK_STATES) {
        this.set(
          { state },
          shards.reduce((sum, shard) => sum + shard[state], 0),
        );
      }
    },
  });
  return {
    decided: kind => {
      decisions.inc({ kind });
    },
    synced: result => {
      syncs.inc({ result });
    },
    started: span => {
      starts.observe(span / 1_000);
    },
  };
}
