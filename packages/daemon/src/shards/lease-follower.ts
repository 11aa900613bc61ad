/** What the lease stream says, and which of its leases this process may act under. */
import {
  applyLeaseRecord,
  createLeaseState,
  decodeLeaseRecord,
  exportLeases,
  importLeases,
  isHolder,
  leaseStream,
  parseJson,
  type Clock,
  type Instant,
  type LeaseRecord,
  type LeaseState,
  type LeaseVerdict,
  type OwnershipAction,
  type ShardLease,
} from '@paddlewind/domain';

import { Result } from 'true-myth';

import { createListeners, type Listeners } from '../core/listeners.js';
import type { FoldedState } from '../log/index.js';
import { SNAPSHOT_KIND_PREFIX } from '../log/priority.js';
import type { CommittedRecord, PartContext, StreamFollower } from '../parts.js';
import {
  createOwnLeases,
  type LostShard,
  type OwnLeases,
} from './own-leases.js';
import type {
  AcquireListener,
  LoseListener,
  ShardOwnershipParts,
} from './types.js';

/** The folded stream and the leases of this process. */
export interface LeaseFollower {
  readonly self: { readonly owner: string; readonly incarnation: string };
  readonly leases: LeaseState;
  readonly own: OwnLeases;
  readonly follower: StreamFollower;
  readonly acquired: Listeners<Parameters<AcquireListener>>;
  readonly lost: Listeners<Parameters<LoseListener>, ReturnType<LoseListener>>;
  /** Tells the loss of leases that are over. */
  expire(now: Instant): void;
  /** Stops acting on a shard for good under `epoch`; resolves once the listeners are done. */
  giveUp(shard: string, epoch: number): Promise<unknown>;
  /** Shards that were given up and that the log still says are held. */
  unreleased(): OwnershipAction[];
  holdsAny(): boolean;
}

/** Starts to follow the lease stream of the region. */
export function followLeases(parts: ShardOwnershipParts): LeaseFollower {
  const { ctx, cfg, peers } = parts;
  const self = { owner: peers.self, incarnation: cfg.incarnation };
  const leases = createLeaseState();
  const own = createOwnLeases(cfg.leaseMs);
  const acquired: LeaseFollower['acquired'] = createListeners();
  const lost: LeaseFollower['lost'] = createListeners();
  const givenUp = new Map<string, number>();

  function fold(record: CommittedRecord): void {
    const decoded = decode(ctx, record);
    if (decoded === undefined) {
      return;
    }
    const { position, readAt } = record;
    react(record.id, applyLeaseRecord(leases, decoded, position, readAt));
  }

  function react(id: string, verdict: LeaseVerdict): void {
    switch (verdict.kind) {
      case 'claimed': {
        const { lease } = verdict;
        void tellLost(own.lose(lease.shard, 'superseded'));
        if (isHolder(lease, self)) {
          grant(id, lease.shard);
        }
        return;
      }
      case 'renewed':
        verdict.shards.forEach(shard => {
          grant(id, shard);
        });
        return;
      case 'released':
      case 'void':
        return;
    }
  }

  function grant(id: string, shard: string): void {
    const lease = leases.shards.get(shard);
    // A release whose answer was lost may still take effect: the epoch stays given up.
    if (lease === undefined || givenUp.get(shard) === lease.epoch) {
      return;
    }
    const fresh = own.granted(id, lease, ctx.clock());
    if (fresh !== undefined) {
      ctx.log.info({ shard, epoch: lease.epoch }, 'shards: acquired');
      acquired.emit(fresh);
    }
  }

  async function tellLost(gone: LostShard | undefined): Promise<void> {
    if (gone !== undefined) {
      ctx.log.info(gone, 'shards: lost');
      await Promise.all(lost.emit(gone.shard, gone.epoch, gone.reason));
    }
  }

  const follower = parts.follow(
    leaseStream(cfg.region),
    foldedLeases(leases, ctx.clock, fold),
    () => heldBy(leases, self).length > 0,
  );
  return {
    self,
    leases,
    own,
    follower,
    acquired,
    lost,
    expire: now => {
      own.expire(now).forEach(gone => void tellLost(gone));
    },
    giveUp: (shard, epoch) => {
      givenUp.set(shard, epoch);
      return tellLost(own.lose(shard, 'released'));
    },
    unreleased: () =>
      heldBy(leases, self)
        .filter(({ shard, epoch }) => givenUp.get(shard) === epoch)
        .map(({ shard, epoch }) => ({ kind: 'release', shard, epoch })),
    holdsAny: () => heldBy(leases, self).length > 0,
  };
}

function heldBy(state: LeaseState, self: LeaseFollower['self']): ShardLease[] {
  return [...state.shards.values()].filter(lease => isHolder(lease, self));
}

function decode(
  { log }: PartContext,
  record: CommittedRecord,
): LeaseRecord | undefined {
  if (record.kind.startsWith(SNAPSHOT_KIND_PREFIX)) {
    return undefined;
  }
  const decoded = decodeLeaseRecord(record);
  if (decoded.isErr) {
    const { id } = record;
    log.warn({ id, err: decoded.error }, 'shards: record ignored');
    return undefined;
  }
  return decoded.value;
}

/** Returns the leases as a state that snapshots are written of and restored from. */
function foldedLeases(
  leases: LeaseState,
  clock: Clock,
  fold: (record: CommittedRecord) => void,
): FoldedState {
  return {
    apply: records => {
      records.forEach(fold);
      return Result.ok(undefined);
    },
    capture: () => JSON.stringify(exportLeases(leases)),
    restore: text =>
      importLeases(parseJson(text), clock()).map(restored => {
        leases.shards.clear();
        for (const lease of restored.shards.values()) {
          leases.shards.set(lease.shard, lease);
        }
      }),
  };
}
