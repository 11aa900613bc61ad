/** What one process should do about shards now: claim free ones, hand over others. */
import type { Instant, Millis } from '../core/time.js';
import {
  assignShards,
  ownerOrder,
  type ShardMember,
  type ShardPlace,
} from './assignment.js';
import {
  isHolder,
  lapsesAt,
  type LeaseMargin,
  type LeaseState,
  type ShardLease,
} from './leases.js';

/** A member as this process sees it. */
export interface LiveMember extends ShardMember {
  /** Since when this process has taken it for live without a break. */
  readonly liveSince: Instant;
}

/** Times of the decision. */
export interface OwnershipTiming extends LeaseMargin {
  /** A member claims this much later for each member that is preferred to it. */
  readonly claimStepMs: Millis;
  /** A holder that is heard of keeps a lapsed shard this much longer, as after an outage of the log. */
  readonly aliveGraceMs: Millis;
  /** A shard is handed over only after members and holder have stayed the same for this long. */
  readonly settleMs: Millis;
}

/** What the decision sees. */
export interface OwnershipView {
  readonly self: string;
  readonly incarnation: string;
  readonly shards: readonly ShardPlace[];
  /** Members that may own shards, this process included unless it is stopping. */
  readonly members: readonly LiveMember[];
  /** Processes that are heard of, whether or not they may own shards. */
  readonly heard: ReadonlySet<string>;
  readonly leases: LeaseState;
  /** Shards that are not to be handed over; none when absent. */
  readonly kept?: ReadonlySet<string>;
  /** Since when the log has answered this process without a failure. */
  readonly logGoodSince: Instant;
  readonly timing: OwnershipTiming;
}

/** A step to take. */
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

/** Returns when this process may claim the shard; infinity when it may not. */
function claimableAt(
  view: OwnershipView,
  shard: ShardPlace,
  lease: ShardLease | undefined,
  assigned: string | undefined,
): Instant {
  const ownRank = claimRank(view, shard, assigned);
  if (ownRank < 0 || isOwn(view, lease)) {
    return Number.POSITIVE_INFINITY;
  }
  const wait = ownRank * view.timing.claimStepMs;
  if (lease?.holder === undefined) {
    const freeAt = lease?.observedAt ?? 0;
    return Math.max(freeAt, view.logGoodSince) + wait;
  }
  // Renewals that an outage held back must be read before a lapse is believed.
  const known = Math.max(lease.observedAt, view.logGoodSince);
  const lapse = lapsesAt({ ...lease, observedAt: known }, view.timing);
  const { owner } = lease.holder;
  const heard = owner !== view.self && view.heard.has(owner);
  return lapse + wait + (heard ? view.timing.aliveGraceMs : 0);
}

function isOwn(view: OwnershipView, lease: ShardLease | undefined): boolean {
  return isHolder(lease, { owner: view.self, incarnation: view.incarnation });
}

/** Returns how many members come before this process in the order of claims, or -1. */
function claimRank(
  view: OwnershipView,
  shard: ShardPlace,
  assigned: string | undefined,
): number {
  if (assigned === view.self) {
    return 0;
  }
  const others = view.members.filter(member => member.id !== assigned);
  const rank = ownerOrder(shard, others).indexOf(view.self);
  return rank < 0 ? -1 : rank + 1;
}

/** Returns the release of a shard that belongs elsewhere by now, if there is one. */
function decideHandover(
  view: OwnershipView,
  assigned: ReadonlyMap<string, string>,
  now: Instant,
): OwnershipAction | undefined {
  const settled = view.members.every(
    member => now - member.liveSince >= view.timing.settleMs,
  );
  if (!settled || now - view.logGoodSince < view.timing.settleMs) {
    return undefined;
  }
  for (const shard of view.shards) {
    const lease = view.leases.shards.get(shard.name);
    const to = assigned.get(shard.name);
    const belongsElsewhere = to !== undefined && to !== view.self;
    const kept = view.kept?.has(shard.name) === true;
    if (!lease || !isOwn(view, lease) || !belongsElsewhere || kept) {
      continue;
    }
    if (now - lease.claimedAt >= view.timing.settleMs) {
      return { kind: 'release', shard: shard.name, epoch: lease.epoch };
    }
  }
  return undefined;
}
