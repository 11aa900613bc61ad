/** The scheduler of an entry host: one runner for each shard that the process owns. */
import type { Instant } from '@paddlewind/domain';

import type { LossReason, OwnedShard } from '../shards/types.js';
import { createBatchTotals } from './batch-totals.js';
import { countShards, jobsOnWorker, useOfWorkers } from './counts.js';
import { createJobs, shardsOf } from './jobs.js';
import { createSchedulerMetrics, type OwnerParts } from './metrics.js';
import { startShardRunner, type ShardRunner } from './shard-runner.js';
import type { AttemptControl, Scheduler, SchedulerParts } from './types.js';
import { createZones, type Zones } from './zone.js';

/** Longest wait for decisions under way when a shard is handed over. */
const HAND_OVER_MS = 2_000;

/** Starts to place tasks. */
export function startScheduler(parts: SchedulerParts): Scheduler {
  const { ctx, cfg, config, ownership } = parts;
  const totals = createBatchTotals(ctx.clock, (shard, epoch) => {
    return ownership.owned().get(shard)?.epoch === epoch;
  });
  const zones = createZones(
    parts.follow,
    zone => runners.decidesIn(zone),
    folded => {
      totals.take(folded);
    },
  );
  const meters = createSchedulerMetrics(ctx.metrics, () =>
    countShards(zones.known()).filter(each =>
      runners.deciding().includes(each.shard),
    ),
  );
  const runners = createRunners({ ...parts, meters }, zones);
  const jobs = createJobs(parts, zones);
  zones.open(cfg.availabilityZone);
  const stops = [
    ownership.onAcquire(owned => {
      runners.acquired(owned);
    }),
    ownership.onLose((shard, epoch, reason) =>
      runners.lost(shard, epoch, reason),
    ),
    config.onChange(() => {
      runners.refresh();
    }),
  ];
  for (const owned of ownership.owned().values()) {
    runners.acquired(owned);
  }
  return {
    ...jobs,
    counts: () => countShards(zones.known()),
    workerUse: () => useOfWorkers(zones.known()),
    jobsOn: worker => jobsOnWorker(zones.known(), worker),
    batchTotals: totals.read,
    deciding: () => runners.deciding(),
    attempts: runners.attempts,
    canRead: zones.canRead,
    drain: deadline => runners.drain(deadline),
    stop: () => {
      stops.forEach(stop => {
        stop();
      });
      runners.stop();
      zones.stop();
      ctx.log.info('scheduler: stopped');
    },
  };
}

interface Runners {
  acquired(owned: OwnedShard): void;
  lost(shard: string, epoch: number, reason: LossReason): Promise<void>;
  /** Starts runners anew whose shard was configured anew, and those whose shard was not configured yet. */
  refresh(): void;
  deciding(): string[];
  /** Whether it decides for a shard of the availability zone. */
  decidesIn(zone: string): boolean;
  readonly attempts: AttemptControl;
  drain(deadline: Instant): Promise<void>;
  stop(): void;
}

function createRunners(parts: OwnerParts, zones: Zones): Runners {
  const { ctx, ownership } = parts;
  const runners = new Map<string, ShardRunner>();

  function acquired(owned: OwnedShard): void {
    const known = runners.get(owned.shard);
    // After a lapse without another owner the same runner goes on.
    if (known?.epoch === owned.epoch) {
      return;
    }
    known?.stop();
    runners.delete(owned.shard);
    const spec = shardsOf(parts).find(shard => shard.name === owned.shard);
    if (spec !== undefined) {
      const zone = zones.open(spec.availabilityZone);
      runners.set(owned.shard, startShardRunner(parts, zone, spec, owned));
    }
  }

  async function lost(
    shard: string,
    epoch: number,
    reason: LossReason,
  ): Promise<void> {
    const runner = runners.get(shard);
    if (runner?.epoch !== epoch || reason === 'lapsed') {
      return;
    }
    if (reason === 'released') {
      await runner.drain(ctx.clock() + HAND_OVER_MS);
    }
    stopRunner(runner);
  }

  function stopRunner(runner: ShardRunner): void {
    runner.stop();
    if (runners.get(runner.shard) === runner) {
      runners.delete(runner.shard);
    }
  }

  async function restart(runner: ShardRunner): Promise<void> {
    await runner.drain(ctx.clock() + HAND_OVER_MS);
    stopRunner(runner);
    const owned = ownership.owned().get(runner.shard);
    if (owned !== undefined) {
      acquired(owned);
    }
  }

  function refresh(): void {
    for (const runner of [...runners.values()]) {
      if (isConfiguredAnew(parts, runner)) {
        void restart(runner);
      }
    }
    for (const owned of ownership.owned().values()) {
      if (!runners.has(owned.shard)) {
        acquired(owned);
      }
    }
  }

  return {
    acquired,
    lost,
    refresh,
    decidesIn: zone =>
      [...runners.values()].some(
        each => each.zone.name === zone && each.isDeciding(),
      ),
    deciding: () =>
      [...runners.values()]
        .filter(each => each.isDeciding())
        .map(each => each.shard),
    attempts: attemptsOf(runners),
    drain: async deadline => {
      const all = [...runners.values()].map(each => each.drain(deadline));
      await Promise.all(all);
    },
    stop: () => {
      runners.forEach(runner => {
        runner.stop();
      });
    },
  };
}

/** Joins the control of all runners. */
function attemptsOf(runners: ReadonlyMap<string, ShardRunner>): AttemptControl {
  return {
    running: () =>
      [...runners.values()].flatMap(each => each.attempts.running()),
    throttle: async (attempt, share) => {
      const runner = runners.get(attempt.shard);
      return (await runner?.attempts.throttle(attempt, share)) ?? false;
    },
    evict: attempt =>
      runners.get(attempt.shard)?.attempts.evict(attempt) ?? false,
  };
}

function isConfiguredAnew(
  parts: SchedulerParts,
  { shard, spec }: ShardRunner,
): boolean {
  const current = shardsOf(parts).find(each => each.name === shard);
  return JSON.stringify(current) !== JSON.stringify(spec);
}
