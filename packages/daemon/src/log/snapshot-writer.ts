/** Writes snapshots of a stream's state to the stream well before its entries expire. */
import {
  snapshotRecords,
  type AppError,
  type Instant,
  type Millis,
} from '@paddlewind/domain';
import { Result } from 'true-myth';

import type { Committer, PartContext, Stop } from '../parts.js';
import type { FoldFollower } from './fold-follower.js';
import { scheduleOf, sleep } from './timing.js';

/** Options of a snapshot writer. */
export interface SnapshotWriterOptions {
  readonly ctx: PartContext;
  readonly stream: string;
  readonly committer: Committer;
  readonly follower: FoldFollower;
  /** Age of the last snapshot at which a new one is written; at most a quarter of the log's retention. */
  readonly maxAgeMs: Millis;
  /** Number of entries after which a new snapshot is written. */
  readonly maxEntries: number;
  /** Maximum random delay before writing, so that hosts do not all write at the same time. */
  readonly maxStaggerMs: Millis;
  /** Returns whether this host may write; a stream that has an owner is written only by the owner. */
  readonly mayWrite?: () => boolean;
}

/** Writes the snapshots of a stream periodically. */
export interface SnapshotWriter {
  /** Writes a snapshot now. */
  write(): Promise<Result<void, AppError>>;
  stop: Stop;
}

const CHECKS_PER_MAX_AGE = 20;
const WRITE_DEADLINE_MS = 60_000;

/** Starts to write snapshots periodically. */
export function startSnapshotWriter(
  options: SnapshotWriterOptions,
): SnapshotWriter {
  const { ctx } = options;
  const schedule = scheduleOf(ctx);
  const startedAt = ctx.clock();
  const abort = new AbortController();

  async function run(): Promise<void> {
    const checkMs = options.maxAgeMs / CHECKS_PER_MAX_AGE;
    while (!abort.signal.aborted) {
      await sleep(schedule, checkMs * (0.5 + ctx.random()), abort.signal);
      if (mayWrite() && isDue(options, startedAt)) {
        await writeStaggered();
      }
    }
  }

  function mayWrite(): boolean {
    const isOwner = options.mayWrite?.() ?? true;
    return isOwner && options.follower.caughtUp() && !abort.signal.aborted;
  }

  async function writeStaggered(): Promise<void> {
    const wait = options.maxStaggerMs * ctx.random();
    await sleep(schedule, wait, abort.signal);
    if (mayWrite() && isDue(options, startedAt)) {
      await writeSnapshot(options);
    }
  }

  void run();
  return {
    write: () => writeSnapshot(options),
    stop: () => {
      abort.abort();
    },
  };
}

function isDue(options: SnapshotWriterOptions, startedAt: Instant): boolean {
  const { ctx, follower, maxAgeMs, maxEntries } = options;
  const now = ctx.clock();
  const chunkSeenAt = follower.chunkSeenAt();
  if (
    follower.offset() === 0 ||
    isRecent(chunkSeenAt, now - WRITE_DEADLINE_MS)
  ) {
    return false;
  }
  const lastSnapshot = follower.lastSnapshot();
  const seenAt = lastSnapshot?.seenAt ?? startedAt - maxAgeMs / 2;
  return (
    now - seenAt >= maxAgeMs ||
    follower.offset() - (lastSnapshot?.offset ?? 0) >= maxEntries ||
    isNearExpiry(follower, lastSnapshot?.offset ?? 0)
  );
}

function isRecent(at: Instant | undefined, since: Instant): boolean {
  return at !== undefined && at > since;
}

/** Returns whether entries have expired and the snapshot is in the older half of the retained ones. */
function isNearExpiry(follower: FoldFollower, offset: number): boolean {
  const first = follower.first() ?? 0;
  const head = follower.head() ?? 0;
  return first > 0 && offset < (first + head) / 2;
}

async function writeSnapshot(
  options: SnapshotWriterOptions,
): Promise<Result<void, AppError>> {
  const { ctx, stream, committer, follower } = options;
  const snapshot = await follower.snapshot();
  const records = snapshotRecords(snapshot);
  const deadline = ctx.clock() + WRITE_DEADLINE_MS;
  const written = await Promise.all(
    records.map(record => committer.commit(stream, record, deadline)),
  );
  const failed = written.find(each => each.isErr);
  if (failed?.isErr === true) {
    ctx.log.warn(
      { stream, offset: snapshot.offset, err: failed.error },
      `log: snapshot of ${stream} was not written`,
    );
    return Result.err(failed.error);
  }
  ctx.log.info(
    { stream, offset: snapshot.offset, chunks: records.length },
    `log: snapshot of ${stream} written`,
  );
  return Result.ok(undefined);
}
