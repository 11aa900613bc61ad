/** Which member should own which shard: rendezvous hashing with bounded loads, near first. */
import { rendezvousOrder } from '../core/random.js';

/** A process that may own shards. */
export interface ShardMember {
  readonly id: string;
  readonly availabilityZone: string;
}

/** A shard and where its workers are. */
export interface ShardPlace {
  readonly name: string;
  readonly availabilityZone: string;
}

/** How far over the mean a member's count of shards may go. */
const LOAD_BOUND = 1.25;

/** Returns the members in the order in which they should own `shard`; those of its zone come first. */
export function ownerOrder(
  shard: ShardPlace,
  members: readonly ShardMember[],
): string[] {
  const near = members.filter(
    member => member.availabilityZone === shard.availabilityZone,
  );
  const far = members.filter(
    member => member.availabilityZone !== shard.availabilityZone,
  );
  return [
    ...rendezvousOrder(
      shard.name,
      near.map(member => member.id),
    ),
    ...rendezvousOrder(
      shard.name,
      far.map(member => member.id),
    ),
  ];
}

/**
 * Returns the member that should own each shard, by shard; the same on every host with the same members.
 * A member that joins or leaves moves about its own share of the shards of its availability zone.
 */
export function assignShards(
  shards: readonly ShardPlace[],
  members: readonly ShardMember[],
): Map<string, string> {
  const assigned = new Map<string, string>();
  const zones = new Set(shards.map(shard => shard.availabilityZone));
  for (const zone of zones) {
    const group = shards.filter(shard => shard.availabilityZone === zone);
    const near = members.filter(member => member.availabilityZone === zone);
    const candidates = near.length > 0 ? near : members;
    assignGroup(group, candidates, assigned);
  }
  return assigned;
}

function assignGroup(
  shards: readonly ShardPlace[],
  members: readonly ShardMember[],
  assigned: Map<string, string>,
): void {
  const bound = Math.ceil((shards.length / members.length) * LOAD_BOUND);
  const counts = new Map<string, number>();
  const ordered = [...shards].sort((a, b) => (a.name < b.name ? -1 : 1));
  for (const shard of ordered) {
    const order = ownerOrder(shard, members);
    const choice = order.find(id => (counts.get(id) ?? 0) < bound);
    if (choice !== undefined) {
      counts.set(choice, (counts.get(choice) ?? 0) + 1);
      assigned.set(shard.name, choice);
    }
  }
}
