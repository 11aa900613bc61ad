/** Metrics of shard ownership. */
import { Counter, Gauge, type Registry } from 'prom-client';

import type { LossReason } from './types.js';

/** What ownership counts. */
export interface ShardMetrics {
  acquired(): void;
  lost(reason: LossReason): void;
}

/** Registers the metrics; `owned` tells the number of shards owned now. */
export function createShardMetrics(
  registry: Registry,
  owned: () => number,
): ShardMetrics {
  const registers = [registry];
  const acquisitions = new Counter({
    name: 'paddlewind_shards_acquired_total',
    help: 'Shards whose lease this host came to hold.',
    registers,
  });
  const losses = new Counter({
    name: 'paddlewind_shards_lost_total',
    help: 'Shards whose lease this host lost, by reason.',
    labelNames: ['reason'],
    registers,
  });
  new Gauge({
    name: 'paddlewind_shards_owned',
    help: 'Shards whose lease this host holds.',
    registers,
    collect() {
      this.set(owned());
    },
  });
  return {
    acquired: () => {
      acquisitions.inc();
    },
    lost: reason => {
      losses.inc({ reason });
    },
  };
}
