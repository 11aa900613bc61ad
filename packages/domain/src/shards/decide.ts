/** Decides which shards a process should claim, and which one it should hand over. */
import type { Instant, Millis } from '../core/time.js';
import {
  assignShards,
  rankOwners,
  type ShardMember,
  type ShardLocation,
} from './assignment.js';
import {
  isHolder,
  leaseExpiresAt,
  type LeaseMargin,
  type LeaseState,
  type ShardLease,
} from './leases.js';

/** A member as this process sees it. */
export interface LiveMember extends ShardMember {
  /** Start of the uninterrupted time during which this process has considered the member live. */
  readonly liveSince: Instant;
}

/** Delays that the decision uses. */
export interface OwnershipTiming extends LeaseMargin {
  /** Delay of a member's claim for each member that is preferred over it. */
  readonly claimStepMs: Millis;
  /** Delay of a claim while the holder of the expired lease is alive, as after an outage of the log. */
  readonly aliveGraceMs: Millis;
  /** Time for which members and holder must be unchanged before a shard is handed over. */
  readonly settleMs: Millis;
}

/** Input of the decision. */
export interface OwnershipView {
  readonly self: string;
  readonly incarnation: string;
  readonly shards: readonly ShardLocation[];
  /** Members that may own shards, including this process unless it is stopping. */
  readonly members: readonly LiveMember[];
  /** Processes that are known to be alive, whether or not they may own shards. */
  readonly alive: ReadonlySet<string>;
  readonly leases: LeaseState;
  /** Shards that must not be handed over; none if absent. */
  readonly kept?: ReadonlySet<string>;
  /** Start of the time during which the log has answered this process without failure; infinity in an outage. */
  readonly logGoodSince: Instant;
  readonly timing: OwnershipTiming;
}

/** A claim or release of a shard. */
export type OwnershipAction =
  | { readonly kind: 'claim'; readonly shard: string; readonly epoch: number }
  | {
      readonly kind: 'release';
      readonly shard: string;
      readonly epoch: number;
    };

/** Returns the claims that are due and at most one release. */
export function decideOwnership(
  view: OwnershipView,
  now: Instant,
): OwnershipAction[] {
  const assigned = assignShards(view.shards, view.members);
  const actions: OwnershipAction[] = [];
  for (const shard of view.shards) {
    const lease = view.leases.shards.get(shard.name);
    if (now >= claimableAt(view, shard, lease, assigned.get(shard.name))) {
      const epoch = (lease?.epoch ?? 0) + 1;
      actions.push({ kind: 'claim', shard: shard.name, epoch });
    }
  }
  const handover = decideHandover(view, assigned, now);
  return handover === undefined ? actions : [...actions, handover];
}

/** Returns when this process may claim the shard, or infinity if it must not. */
function claimableAt(
  view: OwnershipView,
  shard: ShardLocation,
  lease: ShardLease | undefined,
  assigned: string | undefined,
): Instant {
  const ownRank = claimRank(view, shard, assigned);
  if (ownRank < 0 || isOwnLease(view, lease)) {
    return Number.POSITIVE_INFINITY;
  }
  const wait = ownRank * view.timing.claimStepMs;
  if (lease?.holder === undefined) {
    const freeAt = lease?.observedAt ?? 0;
    return Math.max(freeAt, view.logGoodSince) + wait;
  }
  // An outage may have delayed renewals; they must be read before the lease counts as expired.
  const observedAt = Math.max(lease.observedAt, view.logGoodSince);
  const expiresAt = leaseExpiresAt({ ...lease, observedAt }, view.timing);
  const { owner } = lease.holder;
  const isHolderAlive = owner !== view.self && view.alive.has(owner);
  return expiresAt + wait + (isHolderAlive ? view.timing.aliveGraceMs : 0);
}

function isOwnLease(
  view: OwnershipView,
  lease: ShardLease | undefined,
): boolean {
  return isHolder(lease, { owner: view.self, incarnation: view.incarnation });
}

/** Returns how many members may claim the shard before this process, or -1 if this process must not claim it. */
function claimRank(
  view: OwnershipView,
  shard: ShardLocation,
  assigned: string | undefined,
): number {
  if (assigned === view.self) {
    return 0;
  }
  const others = view.members.filter(member => member.id !== assigned);
  const rank = rankOwners(shard, others).indexOf(view.self);
  return rank < 0 ? -1 : rank + 1;
}

/** Returns the release of a shard that is now assigned to another member, if there is one. */
function decideHandover(
  view: OwnershipView,
  assigned: ReadonlyMap<string, string>,
  now: Instant,
): OwnershipAction | undefined {
  const isSettled = view.members.every(
    member => now - member.liveSince >= view.timing.settleMs,
  );
  if (!isSettled || now - view.logGoodSince < view.timing.settleMs) {
    return undefined;
  }
  for (const shard of view.shards) {
    const lease = view.leases.shards.get(shard.name);
    const assignee = assigned.get(shard.name);
    const isReassigned = assignee !== undefined && assignee !== view.self;
    const isKept = view.kept?.has(shard.name) === true;
    if (!lease || !isOwnLease(view, lease) || !isReassigned || isKept) {
      continue;
    }
    if (now - lease.claimedAt >= view.timing.settleMs) {
      return { kind: 'release', shard: shard.name, epoch: lease.epoch };
    }
  }
  return undefined;
}
