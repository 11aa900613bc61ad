/** Folds the lease stream into the current holder of each shard; only the order of the log decides. */
import type { Instant, Millis } from '../core/time.js';
import type { Position } from '../streams/record.js';
import type { ClaimRecord, LeaseRecord, RenewRecord } from './records.js';

/** The process that holds a shard, and the duration of its lease. */
export interface LeaseHolder {
  readonly owner: string;
  readonly incarnation: string;
  readonly leaseMs: Millis;
}

/** The lease of a shard. */
export interface ShardLease {
  readonly shard: string;
  readonly epoch: number;
  /** Undefined after a release. */
  readonly holder: LeaseHolder | undefined;
  /** Offset of the last claim, renewal or release that took effect. */
  readonly offset: number;
  /** When this process read that record, on its own clock; verdicts do not depend on it. */
  readonly observedAt: Instant;
  /** When this process read the claim of this epoch, on its own clock. */
  readonly claimedAt: Instant;
  /** When this process read the latest claim of a shard whose holder had not released it; undefined if none. */
  readonly takenOverAt: Instant | undefined;
}

/** State of the fold; verdicts depend only on the records and their order. */
export interface LeaseState {
  readonly shards: Map<string, ShardLease>;
}

/** Effect of a record. */
export type LeaseVerdict =
  | { readonly kind: 'claimed'; readonly lease: ShardLease }
  | { readonly kind: 'renewed'; readonly shards: readonly string[] }
  | { readonly kind: 'released'; readonly lease: ShardLease }
  | { readonly kind: 'void'; readonly reason: LeaseVoidReason };

/** Why a record had no effect. */
export type LeaseVoidReason =
  'stale_epoch' | 'renewed_meanwhile' | 'not_holder';

/** Returns the state before the first record. */
export function createLeaseState(): LeaseState {
  return { shards: new Map() };
}

/** Applies a record that this process read at `readAt` on its monotonic clock. */
export function applyLeaseRecord(
  state: LeaseState,
  record: LeaseRecord,
  position: Position,
  readAt: Instant,
): LeaseVerdict {
  switch (record.kind) {
    case 'claim':
      return applyClaim(state, record, position, readAt);
    case 'renew':
      return applyRenewal(state, record, position, readAt);
    case 'release': {
      const lease = state.shards.get(record.shard);
      if (lease?.epoch !== record.epoch || !isHolder(lease, record)) {
        return { kind: 'void', reason: 'not_holder' };
      }
      const released = {
        ...lease,
        holder: undefined,
        offset: position.offset,
        observedAt: readAt,
      };
      state.shards.set(record.shard, released);
      return { kind: 'released', lease: released };
    }
  }
}

function applyClaim(
  state: LeaseState,
  record: ClaimRecord,
  position: Position,
  readAt: Instant,
): LeaseVerdict {
  const current = state.shards.get(record.shard);
  if (record.epoch !== (current?.epoch ?? 0) + 1) {
    return { kind: 'void', reason: 'stale_epoch' };
  }
  // A claimer waits from the last renewal that it has read; if it missed one, it did not wait long enough.
  if (current?.holder !== undefined && current.offset >= record.seen) {
    return { kind: 'void', reason: 'renewed_meanwhile' };
  }
  const { shard, epoch, owner, incarnation, leaseMs } = record;
  const lease: ShardLease = {
    shard,
    epoch,
    holder: { owner, incarnation, leaseMs },
    offset: position.offset,
    observedAt: readAt,
    claimedAt: readAt,
    takenOverAt: current?.holder === undefined ? current?.takenOverAt : readAt,
  };
  state.shards.set(shard, lease);
  return { kind: 'claimed', lease };
}

function applyRenewal(
  state: LeaseState,
  record: RenewRecord,
  position: Position,
  readAt: Instant,
): LeaseVerdict {
  const renewed: string[] = [];
  for (const lease of state.shards.values()) {
    if (!isHolder(lease, record)) {
      continue;
    }
    const { owner, incarnation, leaseMs } = record;
    state.shards.set(lease.shard, {
      ...lease,
      holder: { owner, incarnation, leaseMs },
      offset: position.offset,
      observedAt: readAt,
    });
    renewed.push(lease.shard);
  }
  return renewed.length > 0
    ? { kind: 'renewed', shards: renewed }
    : { kind: 'void', reason: 'not_holder' };
}

/** Tells whether `by` is the process that holds `lease`. */
export function isHolder(
  lease: ShardLease | undefined,
  by: Pick<LeaseHolder, 'owner' | 'incarnation'>,
): boolean {
  return (
    lease?.holder?.owner === by.owner &&
    lease.holder.incarnation === by.incarnation
  );
}

/** Safety margin by which an observer waits longer than the holder until it considers a lease expired. */
export interface LeaseMargin {
  /** Largest difference in rate between two hosts' clocks, such as 0.001. */
  readonly drift: number;
  readonly marginMs: Millis;
}

/** Returns when the lease has expired for an observer, on the observer's clock; a released lease expires at once. */
export function leaseExpiresAt(
  lease: ShardLease,
  margin: LeaseMargin,
): Instant {
  if (lease.holder === undefined) {
    return lease.observedAt;
  }
  const { leaseMs } = lease.holder;
  const wait = leaseMs + leaseMs * margin.drift + margin.marginMs;
  return lease.observedAt + wait;
}
