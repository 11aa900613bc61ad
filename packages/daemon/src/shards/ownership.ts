/** Owns shards by leases in the log: claims, renews, hands over and releases them. */
import {
  decideOwnership,
  isHolder,
  leaseExpiresAt,
  type Instant,
  type OwnershipAction,
} from '@paddlewind/domain';

import { scheduleOf, sleep } from '../log/timing.js';
import { createHandovers, unreadShards, withoutUnread } from './handovers.js';
import { followLeases, type LeaseFollower } from './lease-follower.js';
import { createLeaseWriter, type LeaseWriter } from './lease-writer.js';
import { createMemberTracker } from './members.js';
import { createShardMetrics } from './metrics.js';
import type {
  ShardOwner,
  ShardOwnership,
  ShardOwnershipParts,
} from './types.js';

const TICK_MS = 100;
/** Longest wait for the listeners of a planned release. */
const RELEASE_WAIT_MS = 2_000;

interface Loop {
  tick(now: Instant): void;
  releaseAll(deadline: Instant): Promise<void>;
}

/** Starts to follow the lease stream and to own shards. */
export function startShardOwnership(
  parts: ShardOwnershipParts,
): ShardOwnership {
  const { ctx, cfg, peers } = parts;
  const schedule = scheduleOf(ctx);
  const book = followLeases(parts);
  const writer = createLeaseWriter({
    ctx,
    committer: parts.committer,
    follower: () => book.follower,
    own: book.own,
    region: cfg.region,
    prefix: `${peers.self}/${cfg.incarnation}`,
  });
  const loop = createLoop(parts, book, writer);
  countChanges(parts, book);
  let cancel = schedule(TICK_MS, tick);

  function tick(): void {
    cancel = schedule(TICK_MS, tick);
    loop.tick(ctx.clock());
  }

  function ownerOf(shard: string): ShardOwner | undefined {
    const lease = book.leases.shards.get(shard);
    if (lease?.holder === undefined) {
      return undefined;
    }
    const { owner, incarnation } = lease.holder;
    const until = leaseExpiresAt(lease, cfg.timing);
    return { owner, incarnation, epoch: lease.epoch, lapsesAt: until };
  }

  return {
    owned: () => book.own.valid(ctx.clock()),
    ownerOf,
    logGoodSince: () => writer.goodSince(),
    onAcquire: listener => book.acquired.add(listener),
    onLose: listener => book.lost.add(listener),
    releaseAll: deadline => loop.releaseAll(deadline),
    stop: () => {
      cancel();
      book.follower.stop();
    },
  };
}

function countChanges({ ctx }: ShardOwnershipParts, book: LeaseFollower): void {
  const metrics = createShardMetrics(
    ctx.metrics,
    () => book.own.valid(ctx.clock()).size,
  );
  book.acquired.add(() => {
    metrics.acquired();
  });
  book.lost.add((_shard, _epoch, reason) => {
    metrics.lost(reason);
    return Promise.resolve();
  });
}

function createLoop(
  parts: ShardOwnershipParts,
  book: LeaseFollower,
  writer: LeaseWriter,
): Loop {
  const { ctx, cfg, peers } = parts;
  const { clock } = ctx;
  const { self } = book;
  const readMembers = createMemberTracker(peers, cfg);
  const pending = new Set<string>();
  const renewIfDue = createRenewal(parts, book, writer);
  const handovers = createHandovers(book);
  let stopping = false;
  let caughtUpAt: Instant | undefined;

  function tick(now: Instant): void {
    book.expire(now);
    if (!stopping) {
      renewIfDue(now);
    }
    const ready = parts.ready?.() ?? true;
    const seen = readMembers(ready && !stopping, now);
    if (stopping || !book.follower.caughtUp()) {
      return;
    }
    caughtUpAt ??= now;
    const actions = decideOwnership(
      {
        ...seen,
        self: self.owner,
        incarnation: self.incarnation,
        shards: parts.shards(),
        leases: book.leases,
        kept: handovers.kept(now),
        logGoodSince: Math.max(writer.goodSince(), caughtUpAt),
        timing: cfg.timing,
      },
      now,
    );
    handovers.note(actions, now);
    withoutUnread(actions, book, unreadShards(parts)).forEach(perform);
    book.unreleased().forEach(perform);
  }

  function perform(action: OwnershipAction): void {
    if (pending.has(action.shard)) {
      return;
    }
    pending.add(action.shard);
    const deadline = clock() + cfg.leaseMs;
    void step(action, deadline).finally(() => pending.delete(action.shard));
  }

  function step(action: OwnershipAction, deadline: Instant): Promise<unknown> {
    const { kind, shard, epoch } = action;
    if (kind === 'release') {
      return release(shard, epoch, deadline);
    }
    const { leaseMs } = cfg;
    const seen = book.follower.offset();
    const claim = { kind, shard, epoch, ...self, leaseMs, seen };
    return writer.write(claim, deadline);
  }

  async function release(
    shard: string,
    epoch: number,
    deadline: Instant,
  ): Promise<void> {
    const told = book.giveUp(shard, epoch);
    await Promise.race([told, sleep(scheduleOf(ctx), RELEASE_WAIT_MS)]);
    await writer.write({ kind: 'release', shard, epoch, ...self }, deadline);
  }

  async function releaseAll(deadline: Instant): Promise<void> {
    stopping = true;
    const held = [...book.leases.shards.values()];
    const releases = held
      .filter(lease => isHolder(lease, self))
      .map(lease => release(lease.shard, lease.epoch, deadline));
    await Promise.all(releases);
  }

  return { tick, releaseAll };
}

/** Returns a function that sends a renewal when one is due and none is in flight. */
function createRenewal(
  { cfg }: ShardOwnershipParts,
  book: LeaseFollower,
  writer: LeaseWriter,
): (now: Instant) => void {
  let inFlight = false;
  let dueAt = 0;
  return now => {
    // In an outage the renewal also probes whether the log is back.
    const inOutage = writer.goodSince() === Number.POSITIVE_INFINITY;
    const needed = book.holdsAny() || inOutage;
    if (!needed || inFlight || now < dueAt) {
      return;
    }
    inFlight = true;
    dueAt = now + cfg.renewEveryMs;
    const { leaseMs } = cfg;
    const record = { kind: 'renew', ...book.self, leaseMs } as const;
    // An outage must be known before the lease ends, and a renewal sent again in time.
    void writer.write(record, now + leaseMs / 2).finally(() => {
      inFlight = false;
    });
  };
}
