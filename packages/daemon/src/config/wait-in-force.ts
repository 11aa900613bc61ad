/** Waiting until every live entry host has a configuration in force. */
import type { Instant } from '@paddlewind/domain';

import type { Listeners } from '../core/listeners.js';
import { scheduleOf } from '../log/timing.js';
import type { PartContext, PeerView, Stop } from '../parts.js';

/** What the wait works with. */
export interface WaitDeps {
  readonly ctx: PartContext;
  readonly peers: PeerView;
  /** Offset in force on this host. */
  readonly offset: () => number;
  readonly progress: Listeners<[]>;
}

/** Resolves to the entry hosts that lack `offset` at `deadline`; to none as soon as all have it. */
export function waitInForce(
  deps: WaitDeps,
  offset: number,
  deadline: Instant,
): Promise<readonly string[]> {
  const { ctx, peers } = deps;
  return new Promise(resolve => {
    const stops: Stop[] = [];
    const finish = (lacking: readonly string[]): void => {
      stops.forEach(stop => {
        stop();
      });
      resolve(lacking);
    };
    const check = (): void => {
      if (hostsLacking(deps, offset).length === 0) {
        finish([]);
      }
    };
    const late = scheduleOf(ctx)(deadline - ctx.clock(), () => {
      finish(hostsLacking(deps, offset));
    });
    stops.push(late, peers.onChange(check), deps.progress.add(check));
    check();
  });
}

function hostsLacking(deps: WaitDeps, offset: number): string[] {
  const { peers } = deps;
  const lacking = peers
    .peers()
    .filter(peer => peer.state !== 'leaving' && peer.configOffset < offset)
    .map(peer => peer.id);
  return deps.offset() < offset ? [peers.self, ...lacking] : lacking;
}
