/** Members that may own shards, with the time since when each has been live. */
import type { Instant, LiveMember } from '@paddlewind/domain';

import type { Peer, PeerView } from '../parts.js';

/** This process as a member. */
export interface SelfMember {
  readonly region: string;
  readonly availabilityZone: string;
}

/** Live members at one instant. */
export interface MemberSnapshot {
  /** Ready members of the region, this process included while `selfReady`. */
  readonly members: readonly LiveMember[];
  /** Ids of all members of the region that are heard of. */
  readonly alive: ReadonlySet<string>;
}

/** Reads the members that `peers` knows, remembering when each became live. */
export function createMemberTracker(
  peers: PeerView,
  self: SelfMember,
): (selfReady: boolean, now: Instant) => MemberSnapshot {
  const liveSince = new Map<string, Instant>();

  function toLive(id: string, zone: string, now: Instant): LiveMember {
    const since = liveSince.get(id) ?? now;
    liveSince.set(id, since);
    return { id, availabilityZone: zone, liveSince: since };
  }

  return (selfReady, now) => {
    const known = peers
      .peers()
      .filter(peer => peer.region === self.region && peer.id !== peers.self);
    const ready = known.filter(isReady);
    const members = ready.map(peer =>
      toLive(peer.id, peer.availabilityZone, now),
    );
    if (selfReady) {
      members.push(toLive(peers.self, self.availabilityZone, now));
    }
    forgetOthers(liveSince, members);
    const heard = known.filter(isHeard).map(peer => peer.id);
    return { members, alive: new Set(heard) };
  };
}

function isReady(peer: Peer): boolean {
  return peer.state === 'ready';
}

function isHeard(peer: Peer): boolean {
  return peer.state === 'ready' || peer.state === 'not_ready';
}

function forgetOthers(
  liveSince: Map<string, Instant>,
  members: readonly LiveMember[],
): void {
  const current = new Set(members.map(member => member.id));
  for (const id of liveSince.keys()) {
    if (!current.has(id)) {
      liveSince.delete(id);
    }
  }
}
