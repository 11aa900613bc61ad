/** Leases that this process holds, counted from before it sent the record that gave them. */
import type { Instant, Millis, ShardLease } from '@paddlewind/domain';

import type { LossReason, OwnedShard } from './types.js';

/** A lease that ended. */
export interface LostShard {
  readonly shard: string;
  readonly epoch: number;
  readonly reason: LossReason;
}

/** Book of the leases of this process. */
export interface OwnLeases {
  /** Notes that the record `id` is about to be sent. */
  sending(id: string, now: Instant): void;
  /** Takes a claim or renewal that was read back as valid; returns the shard if it is newly owned. */
  granted(id: string, lease: ShardLease, now: Instant): OwnedShard | undefined;
  /** Ends the lease; undefined when it was not held. */
  lose(shard: string, reason: LossReason): LostShard | undefined;
  /** Ends every lease whose time is over. */
  expire(now: Instant): LostShard[];
  valid(now: Instant): Map<string, OwnedShard>;
}

/** Creates an empty book for leases of `leaseMs`. */
export function createOwnLeases(leaseMs: Millis): OwnLeases {
  const sentAt = new Map<string, Instant>();
  const held = new Map<string, OwnedShard>();

  function granted(
    id: string,
    { shard, epoch, takenOverAt }: ShardLease,
    now: Instant,
  ): OwnedShard | undefined {
    const sent = sentAt.get(id);
    if (sent === undefined || sent + leaseMs <= now) {
      return undefined;
    }
    const before = held.get(shard);
    const known = before?.epoch === epoch ? before : undefined;
    const leaseUntil = Math.max(known?.leaseUntil ?? 0, sent + leaseMs);
    const lease = { shard, epoch, leaseUntil, takenOverAt };
    held.set(shard, lease);
    return known === undefined ? lease : undefined;
  }

  function lose(shard: string, reason: LossReason): LostShard | undefined {
    const lease = held.get(shard);
    held.delete(shard);
    return lease && { shard, epoch: lease.epoch, reason };
  }

  function expire(now: Instant): LostShard[] {
    for (const [id, sent] of sentAt) {
      if (sent + leaseMs <= now) {
        sentAt.delete(id);
      }
    }
    const over = [...held.values()].filter(lease => lease.leaseUntil <= now);
    return over.flatMap(lease => lose(lease.shard, 'lapsed') ?? []);
  }

  function valid(now: Instant): Map<string, OwnedShard> {
    const current = [...held].filter(([, lease]) => lease.leaseUntil > now);
    return new Map(current);
  }

  return {
    sending: (id, now) => void sentAt.set(id, now),
    granted,
    lose,
    expire,
    valid,
  };
}
