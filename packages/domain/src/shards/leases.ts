/** The fold of the lease stream: which process holds which shard, by log order alone. */
import type { Instant, Millis } from '../core/time.js';
import type { Position } from '../streams/record.js';
import type { ClaimRecord, LeaseRecord, RenewRecord } from './records.js';

/** The process that holds a shard. */
export interface LeaseHolder {
  readonly owner: string;
  readonly incarnation: string;
  readonly leaseMs: Millis;
}

/** A shard's place in the fold. */
export interface ShardLease {
  readonly shard: string;
  readonly epoch: number;
  /** Undefined once released. */
  readonly holder: LeaseHolder | undefined;
  /** Offset of the last claim, renewal or release that counted. */
  readonly offset: number;
  /** When this process read that record, on its own clock; plays no part in verdicts. */
  readonly observedAt: Instant;
  /** When this process read the claim of this epoch, on its own clock. */
  readonly claimedAt: Instant;
  /** When this process read the latest claim over a holder that had not released; undefined without one. */
  readonly takenOverAt: Instant | undefined;
}

/** The fold's state; verdicts depend on the records and their order only. */
export interface LeaseState {
  readonly shards: Map<string, ShardLease>;
}

/** What a record did. */
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

/** Applies one record that this process read at `readAt` (monotonic). */
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
  // A claimer waits from the last renewal that it read; one that it missed proves the wait too short.
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

/** Tells whether the process `by` holds `lease`. */
export function isHolder(
  lease: ShardLease | undefined,
  by: Pick<LeaseHolder, 'owner' | 'incarnation'>,
): boolean {
  return (
    lease?.holder?.owner === by.owner &&
    lease.holder.incarnation === by.incarnation
  );
}

/** How much later than the holder an observer counts the end of a lease. */
export interface LeaseMargin {
  /** Largest difference in rate between two hosts' clocks, such as 0.001. */
  readonly drift: number;
  readonly marginMs: Millis;
}

/** Returns when an observer may take the lease for lapsed, on its own clock; a released one at once. */
export function lapsesAt(lease: ShardLease, margin: LeaseMargin): Instant {
  if (lease.holder === undefined) {
    return lease.observedAt;
  }
  const { leaseMs } = lease.holder;
  const wait = leaseMs + leaseMs * margin.drift + margin.marginMs;
  return lease.observedAt + wait;
}
