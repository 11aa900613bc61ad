/**
 * Assigns shards to members by rendezvous hashing with bounded loads; members in the shard's
 * availability zone are preferred.
 */
import { rendezvousOrder } from '../core/random.js';

/** A process that may own shards. */
export interface ShardMember {
  readonly id: string;
  readonly availabilityZone: string;
}

/** A shard and the availability zone of its workers. */
export interface ShardLocation {
  readonly name: string;
  readonly availabilityZone: string;
}

/** Largest ratio of a member's number of shards to the mean. */
const MAX_LOAD_RATIO = 1.25;

/** Returns the members in the order in which they are preferred as owner of `shard`, its own zone first. */
export function rankOwners(
  shard: ShardLocation,
  members: readonly ShardMember[],
): string[] {
  const sameZone = members.filter(
    member => member.availabilityZone === shard.availabilityZone,
  );
  const otherZones = members.filter(
    member => member.availabilityZone !== shard.availabilityZone,
  );
  return [
    ...rendezvousOrder(
      shard.name,
      sameZone.map(member => member.id),
    ),
    ...rendezvousOrder(
      shard.name,
      otherZones.map(member => member.id),
    ),
  ];
}

/**
 * Returns the member that should own each shard, by shard name. Hosts that know the same members get the
 * same result. A member that joins or leaves moves about its own share of the shards of its availability zone.
 */
export function assignShards(
  shards: readonly ShardLocation[],
  members: readonly ShardMember[],
): Map<string, string> {
  const assigned = new Map<string, string>();
  const zones = new Set(shards.map(shard => shard.availabilityZone));
  for (const zone of zones) {
    const group = shards.filter(shard => shard.availabilityZone === zone);
    const sameZone = members.filter(member => member.availabilityZone === zone);
    const candidates = sameZone.length > 0 ? sameZone : members;
    assignGroup(group, candidates, assigned);
  }
  return assigned;
}

function assignGroup(
  shards: readonly ShardLocation[],
  members: readonly ShardMember[],
  assigned: Map<string, string>,
): void {
  const maxCount = Math.ceil((shards.length / members.length) * MAX_LOAD_RATIO);
  const counts = new Map<string, number>();
  const ordered = [...shards].sort((a, b) => (a.name < b.name ? -1 : 1));
  for (const shard of ordered) {
    const order = rankOwners(shard, members);
    const owner = order.find(id => (counts.get(id) ?? 0) < maxCount);
    if (owner !== undefined) {
      counts.set(owner, (counts.get(owner) ?? 0) + 1);
      assigned.set(shard.name, owner);
    }
  }
}
