/** Writes snapshots of a stream's state into the stream well before its entries expire. */
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

/** When snapshots are written, and by whom. */
export interface SnapshotWriterOptions {
  readonly ctx: PartContext;
  readonly stream: string;
  readonly committer: Committer;
  readonly follower: FoldFollower;
  /** Age at which a snapshot is written anew; at most a quarter of the log's retention. */
  readonly everyMs: Millis;
  /** Entries after which a snapshot is written anew. */
  readonly everyEntries: number;
  /** Longest random wait before writing, so that hosts do not write all at once. */
  readonly staggerMs: Millis;
  /** Whether this host may write; an owner's streams are written by the owner only. */
  readonly mayWrite?: () => boolean;
}

/** Keeps the snapshots of a stream. */
export interface SnapshotWriter {
  /** Writes a snapshot now. */
  write(): Promise<Result<void, AppError>>;
  stop: Stop;
}

const CHECKS_PER_AGE = 20;
const WRITE_DEADLINE_MS = 60_000;

/** Starts to keep snapshots. */
export function startSnapshotWriter(
  options: SnapshotWriterOptions,
): SnapshotWriter {
  const { ctx } = options;
  const schedule = scheduleOf(ctx);
  const startedAt = ctx.clock();
  const abort = new AbortController();

  async function run(): Promise<void> {
    const checkMs = options.everyMs / CHECKS_PER_AGE;
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
    const wait = options.staggerMs * ctx.random();
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
  const { ctx, follower, everyMs, everyEntries } = options;
  const now = ctx.clock();
  const chunkAt = follower.chunkSeenAt();
  if (follower.offset() === 0 || isRecent(chunkAt, now - WRITE_DEADLINE_MS)) {
    return false;
  }
  const seen = follower.lastSnapshot();
  const seenAt = seen?.seenAt ?? startedAt - everyMs / 2;
  return (
    now - seenAt >= everyMs ||
    follower.offset() - (seen?.offset ?? 0) >= everyEntries ||
    isNearExpiry(follower, seen?.offset ?? 0)
  );
}

function isRecent(at: Instant | undefined, since: Instant): boolean {
  return at !== undefined && at > since;
}

/** Tells whether entries have expired and the snapshot is in the older half of what is kept. */
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
