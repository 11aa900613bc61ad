/** What an owner may do at the workers, by its shard lease and the state of the log. */
import type { Instant } from '@paddlewind/domain';

import type { OwnedShard, ShardOwnership } from '../shards/types.js';
import type { TaskTiming } from './types.js';
import { mostAnswered, type WorkerLink } from './worker-link.js';

/**
 * `leased`: decide, command and renew. `renew_only`: the shard lease ended in an outage of the log; renew
 * only. `probe`: ask without renewing. `none`: keep away.
 */
export type LeaseMode = 'leased' | 'renew_only' | 'probe' | 'none';

/** What the mode depends on. */
export interface LeaseModeInput {
  readonly shard: string;
  readonly epoch: number;
  readonly self: string;
  readonly ownership: ShardOwnership;
  readonly timing: TaskTiming;
  readonly links: Iterable<WorkerLink>;
  /** End of the shard lease as last known. */
  readonly leaseUntil: Instant;
  /** Whether an agent refused this epoch as superseded. */
  readonly superseded: boolean;
}

/** Returns the mode at `now`. */
export function leaseMode(input: LeaseModeInput, now: Instant): LeaseMode {
  const { ownership, shard, epoch, timing } = input;
  if (input.superseded) {
    return 'none';
  }
  if (ownership.owned().get(shard)?.epoch === epoch) {
    return 'leased';
  }
  const owner = ownership.ownerOf(shard);
  const outage = ownership.logGoodSince() === Number.POSITIVE_INFINITY;
  const ours = owner?.owner === input.self && owner.epoch === epoch;
  const tooLong = now >= input.leaseUntil + timing.outageHoldMs;
  if (!ours || !outage || tooLong) {
    return 'none';
  }
  // Most workers of any other owner would include one that refuses us.
  const most = mostAnswered(input.links, now - timing.renewOnlyWindowMs);
  return most ? 'renew_only' : 'probe';
}

/**
 * Returns until when the owners before this one may have renewed task leases at workers that this
 * one has not reached. `settledAt` is when most workers had accepted this owner's epoch.
 */
export function formerOwnersUntil(
  owned: Pick<OwnedShard, 'takenOverAt'>,
  acquiredAt: Instant,
  settledAt: Instant | undefined,
  timing: TaskTiming,
): Instant {
  if (owned.takenOverAt === undefined) {
    return acquiredAt;
  }
  const hold = owned.takenOverAt + timing.outageHoldMs;
  const settled =
    settledAt === undefined ? hold : settledAt + timing.renewOnlyWindowMs;
  return Math.max(acquiredAt, Math.min(hold, settled));
}
