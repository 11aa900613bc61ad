/** Which members a host sends heartbeats to: a bounded set over which news still reaches everyone. */
import { hash32, rendezvousOrder } from '../core/random.js';
import type { MemberAddress } from './types.js';

/** A member that may be a target; the gone ones are tried only when a region has no other. */
export interface TargetCandidate extends MemberAddress {
  readonly gone: boolean;
}

/** Orders ids on a ring by hash, the same on every host. */
function ringOrder(ids: readonly string[]): string[] {
  const placed = ids.map(id => ({ id, at: hash32(id) }));
  placed.sort((a, b) => a.at - b.at || (a.id < b.id ? -1 : 1));
  return placed.map(entry => entry.id);
}

/** Returns the successors of `self` on the ring at distances 1, 2, 4, …; about log2 of the ring. */
export function ringFingers(self: string, others: readonly string[]): string[] {
  const ring = ringOrder([self, ...others]);
  const start = ring.indexOf(self);
  const fingers: string[] = [];
  for (let step = 1; step < ring.length; step *= 2) {
    const finger = ring[(start + step) % ring.length];
    if (finger !== undefined) {
      fingers.push(finger);
    }
  }
  return fingers;
}

/** Returns the targets in the own region: everyone up to `fullMeshLimit` members, else ring fingers. */
export function localTargets(
  self: MemberAddress,
  candidates: readonly TargetCandidate[],
  fullMeshLimit: number,
): string[] {
  const ids = candidates
    .filter(member => member.region === self.region && !member.gone)
    .map(member => member.id);
  if (ids.length + 1 <= fullMeshLimit) {
    return ids;
  }
  return ringFingers(self.id, ids);
}

/** Returns one target in each other region, spread over its members by rendezvous hashing. */
export function remoteTargets(
  self: MemberAddress,
  candidates: readonly TargetCandidate[],
): string[] {
  const regions = new Map<string, string[]>();
  for (const member of candidates) {
    if (member.region !== self.region && !member.gone) {
      const ids = regions.get(member.region) ?? [];
      ids.push(member.id);
      regions.set(member.region, ids);
    }
  }
  const targets: string[] = [];
  for (const ids of regions.values()) {
    targets.push(...rendezvousOrder(self.id, ids).slice(0, 1));
  }
  return targets;
}
