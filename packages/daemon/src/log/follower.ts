/** Follows a stream in offset order with long-poll reads. */
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
  followerStoppedError,
  type OffsetWaiters,
} from './offset-waiters.js';
import { READ_LIMIT } from './read-back.js';
import {
  backoffMs,
  createInterruptibleWait,
  scheduleOf,
  sleep,
  type InterruptibleWait,
} from './timing.js';

/** Options of a follower. */
export interface FollowOptions {
  readonly log: LogService;
  readonly stream: string;
  /** Offset of the first entry to read. */
  readonly from: number;
  readonly ctx: PartContext;
  /** Called once per entry with its new records and the offset after the entry. */
  readonly onBatch: (records: readonly CommittedRecord[], next: number) => void;
  /** Called after each successful read, once its entries have been processed. */
  readonly onProgress?: () => void;
  /**
   * Called once when the follower cannot continue: with `unsupported_record`, or with `log_trimmed`
   * if entries expired before they were read.
   */
  readonly onFailure?: (error: AppError) => void;
  /** Record ids from the snapshot at `from`. */
  readonly window?: DedupeWindow;
  /** Time that a read waits for new entries. */
  readonly waitMs?: Millis;
}

/** Follower that exposes the state of its reads. */
export interface LogFollower extends StreamFollower {
  /** Head of the stream at the last read; undefined before the first. */
  head(): number | undefined;
  /** Oldest retained offset at the last read; undefined before the first. */
  first(): number | undefined;
  /** Time of the last successful read; undefined before the first. */
  readAt(): Instant | undefined;
  /** Retries immediately if the follower is waiting after a failed read. */
  wake(): void;
  /** Error that stopped the follower, if any. */
  failure(): AppError | undefined;
}

const READ_WAIT_MS = 5_000;
/** Minimum time between empty reads, in case the log returns without waiting. */
const MIN_EMPTY_READ_INTERVAL_MS = 50;

interface FollowerState {
  readonly options: FollowOptions;
  readonly window: DedupeWindow;
  readonly metrics: LogMetrics;
  readonly abort: AbortController;
  readonly waiters: OffsetWaiters;
  readonly retryWait: InterruptibleWait;
  next: number;
  head: number | undefined;
  first: number | undefined;
  readAt: Instant | undefined;
  failure: AppError | undefined;
  failures: number;
}

/** Starts to follow a stream. */
export function followStream(options: FollowOptions): LogFollower {
  const state: FollowerState = {
    options,
    window: options.window ?? createDedupeWindow(),
    metrics: createLogMetrics(options.ctx.metrics),
    abort: new AbortController(),
    waiters: createOffsetWaiters(options.ctx, options.stream),
    retryWait: createInterruptibleWait(scheduleOf(options.ctx)),
    next: options.from,
    head: undefined,
    first: undefined,
    readAt: undefined,
    failure: undefined,
    failures: 0,
  };
  void run(state);
  return {
    offset: () => state.next,
    caughtUp: () => isCaughtUp(state),
    waitForOffset: (offset, deadline) => reach(state, offset, deadline),
    head: () => state.head,
    first: () => state.first,
    readAt: () => state.readAt,
    wake: () => {
      state.retryWait.wake();
    },
    failure: () => state.failure,
    stop: () => {
      stop(state, followerStoppedError());
    },
  };
}

function isCaughtUp({ failure, head, next }: FollowerState): boolean {
  return failure === undefined && head !== undefined && next >= head;
}

async function run(state: FollowerState): Promise<void> {
  const { options, abort } = state;
  const { signal } = abort;
  const waitMs = options.waitMs ?? READ_WAIT_MS;
  while (!signal.aborted) {
    const requestedAt = options.ctx.clock();
    const page = await options.log.read({
      stream: options.stream,
      from: state.next,
      limit: READ_LIMIT,
      waitMs: state.head === undefined ? 0 : waitMs,
      signal,
    });
    if (!isStopped(state)) {
      await (page.isOk
        ? handlePage(state, page.value, requestedAt)
        : handleReadError(state, page.error));
    }
  }
}

function isStopped(state: FollowerState): boolean {
  return state.abort.signal.aborted;
}

async function handlePage(
  state: FollowerState,
  page: LogPage,
  requestedAt: Instant,
): Promise<void> {
  const { ctx, stream, onProgress } = state.options;
  if (state.failures > 0) {
    ctx.log.info({ stream, next: state.next }, `log: ${stream} is read again`);
  }
  state.failures = 0;
  state.readAt = ctx.clock();
  state.head = page.head;
  state.first = page.first;
  for (const entry of page.entries) {
    if (!isStopped(state)) {
      foldEntry(state, entry);
    }
  }
  onProgress?.();
  const isEmpty = page.entries.length === 0;
  if (isEmpty && ctx.clock() - requestedAt < MIN_EMPTY_READ_INTERVAL_MS) {
    await sleep(
      scheduleOf(ctx),
      MIN_EMPTY_READ_INTERVAL_MS,
      state.abort.signal,
    );
  }
}

function foldEntry(state: FollowerState, entry: LogEntry): void {
  const { options } = state;
  if (entry.offset < state.next) {
    return;
  }
  const batch = decodeBatch(entry.payload);
  if (batch.isErr && batch.error.kind === 'unsupported_record') {
    fail(
      state,
      unsupportedEntryError(options.stream, entry.offset, batch.error),
    );
    return;
  }
  if (batch.isErr) {
    reportMalformed(state, entry.offset, batch.error);
  }
  state.next = entry.offset + 1;
  const records = batch.isOk ? batch.value.records : [];
  options.onBatch(withoutDuplicates(state, entry.offset, records), state.next);
  state.waiters.wake(state.next);
}

function withoutDuplicates(
  { window, metrics, readAt, options }: FollowerState,
  offset: number,
  records: readonly StreamRecord[],
): CommittedRecord[] {
  const fresh: CommittedRecord[] = [];
  records.forEach((record, index) => {
    if (window.addIfNew(record.id)) {
      const at = readAt ?? options.ctx.clock();
      fresh.push({ ...record, position: { offset, index }, readAt: at });
    } else {
      metrics.skipped('duplicate');
    }
  });
  return fresh;
}

function reportMalformed(
  { metrics, options }: FollowerState,
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

async function handleReadError(
  state: FollowerState,
  error: AppError,
): Promise<void> {
  const { ctx, stream } = state.options;
  if (error.kind === 'log_trimmed') {
    fail(state, error);
    return;
  }
  state.failures++;
  if (state.failures === 1) {
    ctx.log.warn({ stream, err: error }, `log: ${stream} cannot be read`);
  }
  const backoff = backoffMs(state.failures, ctx.random);
  const delay = Math.max(backoff, error.retryAfterMs ?? 0);
  await state.retryWait.wait(delay, state.abort.signal);
}

function fail(state: FollowerState, error: AppError): void {
  const { ctx, stream, onFailure } = state.options;
  state.failure = error;
  ctx.log.error(
    { stream, next: state.next, err: error },
    `log: ${stream} is no longer followed`,
  );
  stop(state, error);
  onFailure?.(error);
}

function stop(state: FollowerState, reason: AppError): void {
  state.abort.abort();
  state.waiters.fail(reason);
}

function reach(
  state: FollowerState,
  offset: number,
  deadline: Instant,
): Promise<Result<void, AppError>> {
  const { waiters } = state;
  if (offset <= state.next) {
    return Promise.resolve(REACHED);
  }
  if (isStopped(state)) {
    const reason = state.failure ?? followerStoppedError();
    return Promise.resolve(Result.err(reason));
  }
  return waiters.wait(offset, deadline);
}

function unsupportedEntryError(
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
