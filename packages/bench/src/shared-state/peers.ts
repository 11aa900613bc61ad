/** Peers that hear of one another's configuration at regular times, without a network. */
import type { Config, FetchConfig, Peer, PeerView } from '@paddlewind/daemon';
import { appError } from '@paddlewind/domain';
import type { VirtualTime } from '@paddlewind/stand-ins';
import { Result } from 'true-myth';

const HEARTBEAT_MS = 1_000;

/** Hosts that hear of one another. */
export interface PeerHub {
  viewOf(id: string): PeerView;
  fetch: FetchConfig;
  add(id: string, config: Config): void;
}

/** Starts heartbeats in `time`. */
export function startPeerHub(time: VirtualTime): PeerHub {
  const configs = new Map<string, Config>();
  const listeners = new Set<() => void>();
  let told: Peer[] = [];

  function beat(): void {
    told = [...configs].map(([id, config]) => peerOf(id, config, time.clock()));
    listeners.forEach(listener => {
      listener();
    });
    time.schedule(HEARTBEAT_MS, beat);
  }

  beat();
  return {
    viewOf: id => ({
      self: id,
      peers: () => told.filter(peer => peer.id !== id),
      onChange: listener => {
        listeners.add(listener);
        return () => void listeners.delete(listener);
      },
      shareLoads: () => undefined,
      onLoads: () => () => undefined,
    }),
    fetch: (peer, least) =>
      configs.get(peer.id)?.snapshot(least) ??
      Promise.resolve(Result.err(appError('not_ready', 'no such peer'))),
    add: (id, config) => {
      configs.set(id, config);
    },
  };
}

function peerOf(id: string, config: Config, now: number): Peer {
  return {
    id,
    address: id,
    region: 'r1',
    availabilityZone: 'z1',
    incarnation: '1',
    state: config.inForce() ? 'ready' : 'not_ready',
    configOffset: config.offset(),
    heardAt: now,
  };
}
