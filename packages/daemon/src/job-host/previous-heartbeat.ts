/** Asks other hosts how long ago the previous leader was last heard. */
import type { Millis, SpanBounds } from '@paddlewind/domain';
import { reachableStandbys, type JobsState } from '@paddlewind/domain/jobs';
import type { PeerPort } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';

/** Longest wait for the answer of another host, which delays this leader's first decision. */
const ANSWER_WAIT_MS: Millis = 150;

/**
 * Returns a bounded silence. A process that has just started can't tell how long ago the records were written
 * that it has read, but a host that followed the journal can. What that host has read is as old as the newest
 * heartbeat here, or older, so that its bound holds here as well.
 */
export async function boundSilence(
  ctx: HostContext,
  peers: PeerPort,
  state: JobsState,
  silence: SpanBounds,
): Promise<SpanBounds> {
  if (silence.to < Infinity) {
    return silence;
  }
  const standbys = reachableStandbys(state, ctx.host, ctx.clock());
  const answered = firstAnswer(peers, [...standbys.values()]);
  const waited = pause(ctx, ANSWER_WAIT_MS).then(() => Infinity);
  const maxAgeMs = await Promise.race([answered, waited]);
  return { from: silence.from, to: Math.max(silence.from, maxAgeMs) };
}

/** Resolves with the first bound that a host knows, or with infinity once all have answered without one. */
function firstAnswer(
  peers: PeerPort,
  addresses: readonly string[],
): Promise<Millis> {
  return new Promise(resolve => {
    const asking = addresses.map(async address => {
      const found = await peers.identify(address);
      const maxAgeMs = found?.maxHeartbeatAgeMs;
      if (typeof maxAgeMs === 'number') {
        resolve(Math.ceil(maxAgeMs));
      }
    });
    void Promise.all(asking).then(() => {
      resolve(Infinity);
    });
  });
}
