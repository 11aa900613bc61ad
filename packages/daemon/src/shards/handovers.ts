/** Shards that this process cannot decide on, and shards that nobody takes from it. */
import {
  isHolder,
  type Instant,
  type OwnershipAction,
} from '@paddlewind/domain';

import type { LeaseFollower } from './lease-follower.js';
import type { ShardOwnershipParts } from './types.js';

type Leases = Pick<LeaseFollower, 'leases' | 'self'>;

/** Returns the shards whose decisions cannot be read here: another host may decide on them. */
export function unreadShards(
  parts: Pick<ShardOwnershipParts, 'shards' | 'canRead'>,
): ReadonlySet<string> {
  const unread = parts
    .shards()
    .filter(({ availabilityZone: zone }) => parts.canRead?.(zone) === false);
  return new Set(unread.map(shard => shard.name));
}

/** Returns the steps without claims of unread shards, and with releases of those held. */
export function withoutUnread(
  actions: readonly OwnershipAction[],
  { leases, self }: Leases,
  unread: ReadonlySet<string>,
): OwnershipAction[] {
  const kept = actions.filter(each => !unread.has(each.shard));
  const releases = [...leases.shards.values()]
    .filter(lease => unread.has(lease.shard) && isHolder(lease, self))
    .map(({ shard, epoch }) => ({ kind: 'release', shard, epoch }) as const);
  return [...kept, ...releases];
}

/** A shard that nobody took when it was handed over is kept for this long. */
const KEEP_MS = 600_000;

/** What became of the shards that this process handed over. */
export interface Handovers {
  note(actions: readonly OwnershipAction[], now: Instant): void;
  /** Shards that were handed over lately and that nobody else has held since. */
  kept(now: Instant): ReadonlySet<string>;
}

/** Creates an empty memory of handovers. */
export function createHandovers({ leases, self }: Leases): Handovers {
  const notedAt = new Map<string, Instant>();
  return {
    note: (actions, now) => {
      for (const { kind, shard } of actions) {
        if (kind === 'release') {
          notedAt.set(shard, now);
        }
      }
    },
    kept: now => {
      for (const [shard, at] of notedAt) {
        const lease = leases.shards.get(shard);
        const taken = lease?.holder !== undefined && !isHolder(lease, self);
        if (taken || now - at >= KEEP_MS) {
          notedAt.delete(shard);
        }
      }
      return new Set(notedAt.keys());
    },
  };
}
