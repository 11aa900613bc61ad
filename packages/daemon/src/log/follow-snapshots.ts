/** Folds of streams whose snapshots this process helps to keep. */
import type { AppError, Millis } from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';

import type { Committer, PartContext, StreamFollower } from '../parts.js';
import { followFold, type FoldedState } from './fold-follower.js';
import { startSnapshotWriter } from './snapshot-writer.js';

/** A followed fold that tells why it does not follow, if so. */
export interface FoldedFollower extends StreamFollower {
  failure(): AppError | undefined;
}

/**
 * Folds a stream from its last whole snapshot on; while `mayWrite` holds, this process also writes
 * snapshots of the state before the records that it stands for expire.
 */
export type Follow = (
  stream: string,
  state: FoldedState,
  mayWrite: () => boolean,
) => FoldedFollower;

/** What streams are followed with. */
export interface FollowSnapshotsOptions {
  readonly log: LogService;
  readonly ctx: PartContext;
  readonly committer: Committer;
  /** Time for which the log keeps records. */
  readonly retentionMs: Millis;
}

/** Snapshots that are written within the time for which the log keeps records. */
const SNAPSHOTS_PER_RETENTION = 4;
/** Entries after which a snapshot is written anew, which bounds the time of a recovery. */
const SNAPSHOT_ENTRIES = 50_000;
const STAGGER_MS = 10_000;

/** Returns a function that follows streams of a log. */
export function followWithSnapshots(options: FollowSnapshotsOptions): Follow {
  const { log, ctx, committer, retentionMs } = options;
  return (stream, state, mayWrite) => {
    const follower = followFold({ log, stream, ctx, state });
    const snapshotWriter = startSnapshotWriter({
      ctx,
      stream,
      committer,
      follower,
      everyMs: retentionMs / SNAPSHOTS_PER_RETENTION,
      everyEntries: SNAPSHOT_ENTRIES,
      staggerMs: STAGGER_MS,
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
