/** Follows a stream in offset order by long-poll reads. */
import {
  appError,
  createDedupeWindow,
  decodeBatch,
  type AppError,
  type DedupeWindow,
  type Instant,
  type Millis,
  type StreamRecord,
} from '@paddlewind/domain';
import type { LogEntry, LogPage, LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

import type { CommittedRecord, PartContext, StreamFollower } from '../parts.js';
import { createLogMetrics, type LogMetrics } from './metrics.js';
import {
  REACHED,
  createOffsetWaiters,
  followerStopped,
  type OffsetWaiters,
} from './offset-waiters.js';
import { READ_LIMIT } from './read-back.js';
import {
  backoffMs,
  createPause,
  scheduleOf,
  sleep,
  type Pause,
} from './timing.js';

/** What a follower is started with. */
export interface FollowOptions {
  readonly log: LogService;
  readonly stream: string;
  /** Offset of the first entry to be read. */
  readonly from: number;
  readonly ctx: PartContext;
  /** Called once for each entry with its new records, and the offset after the entry. */
  readonly onBatch: (records: readonly CommittedRecord[], next: number) => void;
  /** Called after a page has been folded, or read empty. */
  readonly onProgress?: () => void;
  /**
   * Called once when the follower cannot go on: `unsupported_record`, or `log_trimmed` when
   * entries that it had not read have expired.
   */
  readonly onFailure?: (error: AppError) => void;
  /** Ids known from the snapshot that `from` belongs to. */
  readonly window?: DedupeWindow;
  /** How long a read waits for an entry. */
  readonly waitMs?: Millis;
}

/** A follower that tells how its reads fare. */
export interface LogFollower extends StreamFollower {
  /** Head of the stream as last seen; undefined before the first read. */
  head(): number | undefined;
  /** Oldest retained offset as last seen; undefined before the first read. */
  first(): number | undefined;
  /** When a read last succeeded; undefined before the first. */
  readAt(): Instant | undefined;
  /** Reads again at once, if the follower is waiting after a failed read. */
  wake(): void;
  /** Why the follower stopped, if it did. */
  failure(): AppError | undefined;
}

const WAIT_MS = 5_000;
/** Least time between empty reads, in case the log does not wait. */
const EMPTY_READ_MS = 50;

interface Following {
  readonly options: FollowOptions;
  readonly window: DedupeWindow;
  readonly metrics: LogMetrics;
  readonly abort: AbortController;
  readonly waiters: OffsetWaiters;
  readonly pause: Pause;
  next: number;
  head: number | undefined;
  first: number | undefined;
  readAt: Instant | undefined;
  failure: AppError | undefined;
  failures: number;
}

/** Starts to follow a stream; see `FollowOptions`. */
export function followStream(options: FollowOptions): LogFollower {
  const following: Following = {
    options,
    window: options.window ?? createDedupeWindow(),
    metrics: createLogMetrics(options.ctx.metrics),
    abort: new AbortController(),
    waiters: createOffsetWaiters(options.ctx, options.stream),
    pause: createPause(scheduleOf(options.ctx)),
    next: options.from,
    head: undefined,
    first: undefined,
    readAt: undefined,
    failure: undefined,
    failures: 0,
  };
  void run(following);
  return {
    offset: () => following.next,
    caughtUp: () => isCaughtUp(following),
    reach: (offset, deadline) => reach(following, offset, deadline),
    head: () => following.head,
    first: () => following.first,
    readAt: () => following.readAt,
    wake: () => {
      following.pause.wake();
    },
    failure: () => following.failure,
    stop: () => {
      stop(following, followerStopped());
    },
  };
}

function isCaughtUp({ failure, head, next }: Following): boolean {
  return failure === undefined && head !== undefined && next >= head;
}

async function run(following: Following): Promise<void> {
  const { options, abort } = following;
  const { signal } = abort;
  const waitMs = options.waitMs ?? WAIT_MS;
  while (!signal.aborted) {
    const askedAt = options.ctx.clock();
    const page = await options.log.read({
      stream: options.stream,
      from: following.next,
      limit: READ_LIMIT,
      waitMs: following.head === undefined ? 0 : waitMs,
      signal,
    });
    if (!isStopped(following)) {
      await (page.isOk
        ? accept(following, page.value, askedAt)
        : readFailed(following, page.error));
    }
  }
}

function isStopped(following: Following): boolean {
  return following.abort.signal.aborted;
}

async function accept(
  following: Following,
  page: LogPage,
  askedAt: Instant,
): Promise<void> {
  const { ctx, stream, onProgress } = following.options;
  if (following.failures > 0) {
    ctx.log.info(
      { stream, next: following.next },
      `log: ${stream} is read again`,
    );
  }
  following.failures = 0;
  following.readAt = ctx.clock();
  following.head = page.head;
  following.first = page.first;
  for (const entry of page.entries) {
    if (!isStopped(following)) {
      fold(following, entry);
    }
  }
  onProgress?.();
  const isEmpty = page.entries.length === 0;
  if (isEmpty && ctx.clock() - askedAt < EMPTY_READ_MS) {
    await sleep(scheduleOf(ctx), EMPTY_READ_MS, following.abort.signal);
  }
}

function fold(following: Following, entry: LogEntry): void {
  const { options } = following;
  if (entry.offset < following.next) {
    return;
  }
  const batch = decodeBatch(entry.payload);
  if (batch.isErr && batch.error.kind === 'unsupported_record') {
    fail(following, unsupported(options.stream, entry.offset, batch.error));
    return;
  }
  if (batch.isErr) {
    noteMalformed(following, entry.offset, batch.error);
  }
  following.next = entry.offset + 1;
  const records = batch.isOk ? batch.value.records : [];
  options.onBatch(firstOnes(following, entry.offset, records), following.next);
  following.waiters.wake(following.next);
}

function firstOnes(
  { window, metrics, readAt, options }: Following,
  offset: number,
  records: readonly StreamRecord[],
): CommittedRecord[] {
  const taken: CommittedRecord[] = [];
  records.forEach((record, index) => {
    if (window.take(record.id)) {
      const at = readAt ?? options.ctx.clock();
      taken.push({ ...record, position: { offset, index }, readAt: at });
    } else {
      metrics.skipped('duplicate');
    }
  });
  return taken;
}

function noteMalformed(
  { metrics, options }: Following,
  offset: number,
  err: AppError,
): void {
  const { ctx, stream } = options;
  metrics.skipped('malformed');
  ctx.log.warn(
    { stream, offset, err },
    `log: malformed entry ${offset} of ${stream} skipped`,
  );
}

async function readFailed(
  following: Following,
  error: AppError,
): Promise<void> {
  const { ctx, stream } = following.options;
  if (error.kind === 'log_trimmed') {
    fail(following, error);
    return;
  }
  following.failures++;
  if (following.failures === 1) {
    ctx.log.warn({ stream, err: error }, `log: ${stream} cannot be read`);
  }
  const wait = backoffMs(following.failures, ctx.random);
  const span = Math.max(wait, error.retryAfterMs ?? 0);
  await following.pause.wait(span, following.abort.signal);
}

function fail(following: Following, error: AppError): void {
  const { ctx, stream, onFailure } = following.options;
  following.failure = error;
  ctx.log.error(
    { stream, next: following.next, err: error },
    `log: ${stream} is no longer followed`,
  );
  stop(following, error);
  onFailure?.(error);
}

function stop(following: Following, reason: AppError): void {
  following.abort.abort();
  following.waiters.fail(reason);
}

function reach(
  following: Following,
  offset: number,
  deadline: Instant,
): Promise<Result<void, AppError>> {
  const { waiters } = following;
  if (offset <= following.next) {
    return Promise.resolve(REACHED);
  }
  if (isStopped(following)) {
    const reason = following.failure ?? followerStopped();
    return Promise.resolve(Result.err(reason));
  }
  return waiters.wait(offset, deadline);
}

function unsupported(
  stream: string,
  offset: number,
  error: AppError,
): AppError {
  return appError(
    'unsupported_record',
    `Entry ${offset} of ${stream} was written by a newer version: ${error.message} ` +
      'Upgrade this host.',
  );
}
