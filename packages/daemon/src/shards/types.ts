/** The interface of shard ownership to the other parts of the daemon. */
import type {
  Instant,
  Millis,
  OwnershipTiming,
  ShardSpec,
} from '@paddlewind/domain';

import type { FollowFold } from '../log/index.js';
import type { Committer, PartContext, PeerView, Stop } from '../parts.js';

/** Settings of shard ownership. */
export interface ShardOwnershipConfig {
  readonly region: string;
  readonly availabilityZone: string;
  /** Unique to this start of the process. */
  readonly incarnation: string;
  readonly leaseMs: Millis;
  readonly renewEveryMs: Millis;
  readonly timing: OwnershipTiming;
}

/** What shard ownership is given. */
export interface ShardOwnershipParts {
  readonly ctx: PartContext;
  readonly cfg: ShardOwnershipConfig;
  /** Shards of the region in the configuration in force. */
  readonly shards: () => readonly ShardSpec[];
  readonly peers: PeerView;
  readonly committer: Committer;
  readonly follow: FollowFold;
  /** Whether this process may take on shards now; always when absent. */
  readonly ready?: () => boolean;
  /** Whether the decisions of an availability zone can be read here; always when absent. */
  readonly canRead?: (availabilityZone: string) => boolean;
}

/** A shard that this process owns. */
export interface OwnedShard {
  readonly shard: string;
  readonly epoch: number;
  /** When the lease ends on this process's monotonic clock. */
  readonly leaseUntil: Instant;
  /** When this process saw a holder lose the shard without a release; undefined when none ever did. */
  readonly takenOverAt: Instant | undefined;
}

/** Why a shard was lost; after a lapse or a newer claim nothing more may be decided for it. */
export type LossReason = 'released' | 'lapsed' | 'superseded';

/** The owner of a shard by the log. */
export interface ShardOwner {
  readonly owner: string;
  readonly incarnation: string;
  readonly epoch: number;
  /** When this process may take the lease for lapsed. */
  readonly lapsesAt: Instant;
}

/** Told of a shard whose lease this process has from now on. */
export type AcquireListener = (shard: OwnedShard) => void;

/** Told of a shard that is lost; a planned release waits for the returned promise. */
export type LoseListener = (
  shard: string,
  epoch: number,
  reason: LossReason,
) => Promise<void>;

/** Which shards this process owns, and which others do. */
export interface ShardOwnership {
  /** Shards whose lease is valid at this instant. */
  owned(): ReadonlyMap<string, OwnedShard>;
  ownerOf(shard: string): ShardOwner | undefined;
  /** Since when the log has answered without a failure; infinity in an outage. */
  logGoodSince(): Instant;
  onAcquire(listener: AcquireListener): Stop;
  onLose(listener: LoseListener): Stop;
  /** Gives up every shard and claims no more; resolves once recorded or at the deadline. */
  releaseAll(deadline: Instant): Promise<void>;
  stop: Stop;
}
