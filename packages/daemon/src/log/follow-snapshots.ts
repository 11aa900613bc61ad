/** Follows streams into a state and writes their snapshots. */
import type { AppError, Millis } from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';

import type { Committer, PartContext, StreamFollower } from '../parts.js';
import { followFold, type FoldedState } from './fold-follower.js';
import { startSnapshotWriter } from './snapshot-writer.js';

/** Follower that exposes why it is not following. */
export interface FoldedFollower extends StreamFollower {
  /** Error that keeps the stream from being followed, if any. */
  failure(): AppError | undefined;
}

/**
 * Folds a stream into `state`, starting from its last complete snapshot. While `mayWrite` returns
 * true, this process also writes snapshots of the state before the records behind it expire.
 */
export type FollowFold = (
  stream: string,
  state: FoldedState,
  mayWrite: () => boolean,
) => FoldedFollower;

/** Options for following streams with snapshots. */
export interface FollowSnapshotsOptions {
  readonly log: LogService;
  readonly ctx: PartContext;
  readonly committer: Committer;
  /** Retention period of the log. */
  readonly retentionMs: Millis;
}

/** Number of snapshots written per retention period of the log. */
const SNAPSHOTS_PER_RETENTION = 4;
/** Entries after which a new snapshot is written, which limits the time of a recovery. */
const MAX_ENTRIES_SINCE_SNAPSHOT = 50_000;
const MAX_STAGGER_MS = 10_000;

/** Returns a function that follows streams of a log and writes their snapshots. */
export function followWithSnapshots(
  options: FollowSnapshotsOptions,
): FollowFold {
  const { log, ctx, committer, retentionMs } = options;
  return (stream, state, mayWrite) => {
    const follower = followFold({ log, stream, ctx, state });
    const snapshotWriter = startSnapshotWriter({
      ctx,
      stream,
      committer,
      follower,
      maxAgeMs: retentionMs / SNAPSHOTS_PER_RETENTION,
      maxEntries: MAX_ENTRIES_SINCE_SNAPSHOT,
      maxStaggerMs: MAX_STAGGER_MS,
      mayWrite,
    });
    return {
      ...follower,
      stop: () => {
        snapshotWriter.stop();
        follower.stop();
      },
    };
  };
}
