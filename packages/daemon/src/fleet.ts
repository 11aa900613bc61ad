/** The fleet as operators see it through this entry host. */
import { objectsOf } from '@paddlewind/domain';

import type { Config } from './config/index.js';
import type { OperatorFleet } from './operator/deps.js';
import type { HostView, PeerView } from './parts.js';
import type { Scheduler } from './scheduler/index.js';
import type { ShardOwnership } from './shards/index.js';

/** What the fleet is seen through. */
export interface FleetParts {
  readonly config: Config;
  readonly hosts: HostView;
  readonly peers: PeerView;
  readonly scheduler: Scheduler;
  readonly ownership: ShardOwnership;
  readonly ready: () => boolean;
  readonly burn: OperatorFleet['burn'];
}

/** Builds the view for the operators' service. */
export function createFleet(parts: FleetParts): OperatorFleet {
  return {
    hosts: () => hostStatuses(parts),
    shards: () => shardStatuses(parts),
    members: () => memberStatuses(parts),
    burn: parts.burn,
  };
}

function hostStatuses({ hosts, scheduler }: FleetParts) {
  const uses = new Map(scheduler.workerUse().map(use => [use.worker, use]));
  const workers = hosts.hosts().filter(host => host.role === 'worker');
  return workers.map(host => {
    const use = uses.get(host.id);
    return {
      id: host.id,
      availabilityZone: host.availabilityZone,
      state: host.state,
      tasks: use?.tasks ?? 0,
      cpuUsed: use?.used.cpu ?? 0,
      cpuCapacity: host.capacity.cpu,
    };
  });
}

function shardStatuses({ config, scheduler, ownership }: FleetParts) {
  const counts = new Map(scheduler.counts().map(each => [each.shard, each]));
  return objectsOf(config.current(), 'shard').map(({ name }) => {
    const owner = ownership.ownerOf(name);
    const count = counts.get(name);
    return {
      id: name,
      owner: owner?.owner ?? '',
      epoch: BigInt(owner?.epoch ?? 0),
      running: count?.running ?? 0,
      queued: count?.queued ?? 0,
    };
  });
}

function memberStatuses({ config, peers, ready }: FleetParts) {
  const self = {
    id: peers.self,
    state: ready() ? 'ready' : 'not_ready',
    configOffset: BigInt(config.offset()),
  };
  const others = peers.peers().map(peer => ({
    id: peer.id,
    state: peer.state,
    configOffset: BigInt(peer.configOffset),
  }));
  return [self, ...others];
}
