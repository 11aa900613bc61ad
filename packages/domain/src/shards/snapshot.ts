/** Exports and imports snapshots of the lease state. */
import { Result } from 'true-myth';
import { z } from 'zod';

import { appError, type AppError } from '../errors/app-error.js';
import type { Instant } from '../core/time.js';
import {
  createLeaseState,
  type LeaseState,
  type ShardLease,
} from './leases.js';

const snapshotSchema = z.array(
  z.object({
    shard: z.string().min(1),
    epoch: z.int().positive(),
    holder: z
      .object({
        owner: z.string().min(1),
        incarnation: z.string().min(1),
        leaseMs: z.int().positive(),
      })
      .optional(),
    offset: z.int().nonnegative(),
  }),
);

/** Leases in a snapshot, with only the fields on which verdicts depend. */
export type LeaseSnapshot = readonly Pick<
  ShardLease,
  'shard' | 'epoch' | 'holder' | 'offset'
>[];

/** Exports the state, sorted by shard. */
export function exportLeases(state: LeaseState): LeaseSnapshot {
  return [...state.shards.values()]
    .map(({ shard, epoch, holder, offset }) => ({
      shard,
      epoch,
      holder,
      offset,
    }))
    .sort((a, b) => (a.shard < b.shard ? -1 : 1));
}

/**
 * Restores the state from a snapshot that this process read at `readAt`, from which all waits restart.
 * Fails with `invalid`.
 */
export function importLeases(
  snapshot: unknown,
  readAt: Instant,
): Result<LeaseState, AppError> {
  const parsed = snapshotSchema.safeParse(snapshot);
  if (!parsed.success) {
    return Result.err(appError('invalid', 'The snapshot is malformed.'));
  }
  const state = createLeaseState();
  for (const { shard, epoch, holder, offset } of parsed.data) {
    const seen = { observedAt: readAt, claimedAt: readAt, takenOverAt: readAt };
    state.shards.set(shard, { shard, epoch, holder, offset, ...seen });
  }
  return Result.ok(state);
}
