/** Taking over the configuration from a peer when the log does not give it. */
import type { AppError, Instant, Millis, Snapshot } from '@paddlewind/domain';
import type { Result } from 'true-myth';

import type { FoldFollower } from '../log/fold-follower.js';
import { scheduleOf, sleep } from '../log/timing.js';
import type { PartContext, Peer, PeerView, Stop } from '../parts.js';

/** Asks a peer for its configuration at `least` or later. */
export type FetchConfig = (
  peer: Peer,
  least: number,
  deadline: Instant,
) => Promise<Result<Snapshot, AppError>>;

/** What the source works with. */
export interface PeerSourceOptions {
  readonly ctx: PartContext;
  readonly follower: FoldFollower;
  readonly peers: PeerView;
  readonly fetch: FetchConfig;
  readonly onAdopted: (peer: Peer) => void;
}

const CHECK_MS: Millis = 250;
/** How long the log may take to give what a peer has told of. */
const PATIENCE_MS: Millis = 250;
const FETCH_DEADLINE_MS: Millis = 3_000;

/** Starts to look for peers that are ahead, and takes over from the furthest. */
export function startPeerSource(options: PeerSourceOptions): Stop {
  const { ctx } = options;
  const abort = new AbortController();
  void run(options, abort.signal);
  ctx.log.debug('config: peers are watched for newer offsets');
  return () => {
    abort.abort();
  };
}

async function run(
  options: PeerSourceOptions,
  signal: AbortSignal,
): Promise<void> {
  const { ctx, follower } = options;
  const schedule = scheduleOf(ctx);
  let aheadSince: Instant | undefined;
  while (!signal.aborted) {
    await sleep(schedule, CHECK_MS * (0.75 + 0.5 * ctx.random()), signal);
    const ahead = peersAhead(options);
    aheadSince = ahead.length > 0 ? (aheadSince ?? ctx.clock()) : undefined;
    const isLate =
      aheadSince !== undefined && ctx.clock() - aheadSince >= PATIENCE_MS;
    if (isLate) {
      await adoptFromFirst(options, ahead, follower.offset());
    }
  }
}

/** Live peers with a newer offset, the furthest first. */
function peersAhead({ peers, follower }: PeerSourceOptions): Peer[] {
  return peers
    .peers()
    .filter(peer => peer.configOffset > follower.offset())
    .sort((a, b) => b.configOffset - a.configOffset);
}

async function adoptFromFirst(
  options: PeerSourceOptions,
  ahead: readonly Peer[],
  offset: number,
): Promise<void> {
  const { ctx, follower, fetch, onAdopted } = options;
  for (const peer of ahead) {
    const deadline = ctx.clock() + FETCH_DEADLINE_MS;
    const fetched = await fetch(peer, offset + 1, deadline);
    if (fetched.isOk && (await follower.adopt(fetched.value))) {
      onAdopted(peer);
      return;
    }
    const err = fetched.isErr ? fetched.error : undefined;
    ctx.log.debug({ peer: peer.id, err }, 'config: peer was of no help');
    if (follower.offset() > offset) {
      return;
    }
  }
}
