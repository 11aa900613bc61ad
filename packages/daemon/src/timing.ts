/** Times of leases, worked out from the settings; see docs/design/shards.md and task-leases.md. */
import type { Millis, OwnershipTiming } from '@paddlewind/domain';

import type { TaskTiming } from './scheduler/index.js';
import type { Settings } from './settings/schema.js';

/** Largest difference in rate between the clocks of two hosts. */
const CLOCK_DRIFT = 0.001;

/** Covers the granularity of timers when a shard lease ends. */
const SHARD_MARGIN_MS = 500;

/** Covers calls to agents that are under way when their timeout of 3 s gives them up. */
const TASK_MARGIN_MS = 4_000;

/** Renewals a lease: one may be lost and one late without a lapse. */
const RENEWALS_PER_LEASE = 4;

/** Times of shard leases. */
export function ownershipTiming(): OwnershipTiming {
  return {
    drift: CLOCK_DRIFT,
    marginMs: SHARD_MARGIN_MS,
    claimStepMs: 300,
    aliveGraceMs: 2_000,
    settleMs: 3_000,
  };
}

/** Time between two renewals of a lease. */
export function renewEvery(leaseMs: Millis): Millis {
  return leaseMs / RENEWALS_PER_LEASE;
}

/** Times of task leases. */
export function taskTiming(settings: Settings['scheduler']): TaskTiming {
  const { taskLeaseMs, shardLeaseMs } = settings;
  return {
    leaseMs: taskLeaseMs,
    syncEveryMs: Math.min(1_000, renewEvery(taskLeaseMs)),
    urgentSyncMs: 100,
    suspectMs: taskLeaseMs / 2,
    drift: CLOCK_DRIFT,
    marginMs: TASK_MARGIN_MS,
    outageHoldMs: 5_400_000,
    renewOnlyWindowMs: shardLeaseMs,
    stopGraceMs: 5_000,
  };
}
