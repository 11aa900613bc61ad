/** Folds a stream from its last complete snapshot; recovers again if unread entries expire. */
import {
  createDedupeWindow,
  createSnapshotAssembler,
  type AppError,
  type DedupeWindow,
  type Instant,
  type Millis,
  type Snapshot,
  type SnapshotAssembler,
} from '@paddlewind/domain';
import type { LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

import type { CommittedRecord, PartContext, StreamFollower } from '../parts.js';
import { followStream, type LogFollower } from './follower.js';
import {
  REACHED,
  createOffsetWaiters,
  followerStoppedError,
  type OffsetWaiters,
} from './offset-waiters.js';
import { findStart, isIntact } from './recovery.js';
import { decodeSnapshot, encodeSnapshot } from './snapshot-text.js';
import {
  backoffMs,
  createInterruptibleWait,
  scheduleOf,
  type InterruptibleWait,
} from './timing.js';

/** State that a stream is folded into. */
export interface FoldedState {
  /** Applies the new records of one entry; if it fails with `unsupported_record`, nothing changed. */
  apply(
    records: readonly CommittedRecord[],
    next: number,
  ): Result<unknown, AppError>;
  /** Returns the state as text, identical on every host at the same offset. */
  capture(): string;
  /** Replaces the state by a captured one; fails with `invalid` or `unsupported_record`. */
  restore(text: string, offset: number): Result<unknown, AppError>;
}

/** Options of a fold follower. */
export interface FoldOptions {
  readonly log: LogService;
  readonly stream: string;
  readonly ctx: PartContext;
  readonly state: FoldedState;
  /** Called after each read, after a recovery and when the fold has failed. */
  readonly onProgress?: () => void;
  /** Number of record ids kept for deduplication. */
  readonly windowSize?: number;
  readonly waitMs?: Millis;
}

/** Status of a fold: `failed` is final, `recovering` is retried automatically. */
export type FoldStatus = 'recovering' | 'following' | 'failed';

/** Complete snapshot in the stream; `seenAt` is absent if it was found during recovery. */
export interface SeenSnapshot {
  readonly offset: number;
  readonly seenAt?: Instant;
}

/** Follower that folds a stream into a state. */
export interface FoldFollower extends StreamFollower {
  status(): FoldStatus;
  /** Error that keeps the stream from being followed, if any. */
  failure(): AppError | undefined;
  /** Returns whether the head was read since the start and all entries before it are folded. */
  caughtUp(): boolean;
  head(): number | undefined;
  first(): number | undefined;
  /** Time of the last successful read. */
  readAt(): Instant | undefined;
  /** Retries immediately if the fold is waiting after a failed read. */
  wake(): void;
  /** Returns the current state as a snapshot. */
  snapshot(): Promise<Snapshot>;
  /** Replaces the state by a peer's snapshot; returns false unless it is intact and newer. */
  adopt(snapshot: Snapshot): Promise<boolean>;
  /** Newest complete snapshot in the stream. */
  lastSnapshot(): SeenSnapshot | undefined;
  /** Time at which the first chunk of the newest snapshot was read. */
  chunkSeenAt(): Instant | undefined;
}

interface FoldState {
  readonly options: FoldOptions;
  readonly waiters: OffsetWaiters;
  readonly abort: AbortController;
  readonly retryWait: InterruptibleWait;
  window: DedupeWindow;
  assembler: SnapshotAssembler;
  follower: LogFollower | undefined;
  status: FoldStatus;
  failure: AppError | undefined;
  /** Next offset to fold; undefined until the first recovery. */
  next: number | undefined;
  readAt: Instant | undefined;
  newestSnapshot: SeenSnapshot | undefined;
  chunkSeenAt: Instant | undefined;
}

/** Starts to fold a stream into `options.state`. */
export function followFold(options: FoldOptions): FoldFollower {
  const fold: FoldState = {
    options,
    waiters: createOffsetWaiters(options.ctx, options.stream),
    abort: new AbortController(),
    retryWait: createInterruptibleWait(scheduleOf(options.ctx)),
    window: createDedupeWindow([], options.windowSize),
    assembler: createSnapshotAssembler(),
    follower: undefined,
    status: 'recovering',
    failure: undefined,
    next: undefined,
    readAt: undefined,
    newestSnapshot: undefined,
    chunkSeenAt: undefined,
  };
  void recover(fold);
  return {
    offset: () => fold.next ?? 0,
    status: () => fold.status,
    failure: () => fold.failure,
    caughtUp: () => fold.follower?.caughtUp() ?? false,
    head: () => fold.follower?.head(),
    first: () => fold.follower?.first(),
    readAt: () => fold.follower?.readAt() ?? fold.readAt,
    waitForOffset: (offset, deadline) => reach(fold, offset, deadline),
    wake: () => {
      fold.retryWait.wake();
      fold.follower?.wake();
    },
    snapshot: () => captureSnapshot(fold),
    adopt: snapshot => adoptSnapshot(fold, snapshot),
    lastSnapshot: () => fold.newestSnapshot,
    chunkSeenAt: () => fold.chunkSeenAt,
    stop: () => {
      stop(fold);
    },
  };
}

/** Searches for a start offset until it finds one or a peer's snapshot is adopted. */
async function recover(fold: FoldState): Promise<void> {
  const { log, stream, ctx } = fold.options;
  fold.status = 'recovering';
  let failures = 0;
  while (isRecovering(fold)) {
    const start = await findStart(log, stream, fold.next);
    if (!isRecovering(fold)) {
      return;
    }
    if (start.isOk) {
      const isFollowing =
        start.value.kind === 'beginning'
          ? followFrom(fold, 0)
          : await restore(fold, start.value.snapshot);
      if (isFollowing) {
        return;
      }
    } else {
      reportFailure(fold, start.error);
    }
    failures++;
    const wait = backoffMs(failures, ctx.random);
    await fold.retryWait.wait(wait, fold.abort.signal);
  }
}

function isRecovering({ status, abort }: FoldState): boolean {
  return status === 'recovering' && !abort.signal.aborted;
}

function reportFailure(fold: FoldState, error: AppError): void {
  const { ctx, stream } = fold.options;
  if (fold.failure?.kind !== error.kind) {
    ctx.log.warn({ stream, err: error }, `log: ${stream} cannot be recovered`);
  }
  fold.failure = error;
}

async function restore(fold: FoldState, snapshot: Snapshot): Promise<boolean> {
  const { state, windowSize } = fold.options;
  const decoded = await decodeSnapshot(snapshot);
  const isNewer = snapshot.offset >= (fold.next ?? 0);
  if (fold.abort.signal.aborted || !isNewer) {
    return false;
  }
  const restored = decoded.isOk
    ? state.restore(decoded.value.state, snapshot.offset)
    : Result.err<unknown, AppError>(decoded.error);
  if (restored.isErr) {
    reportFailure(fold, restored.error);
    fold.status =
      restored.error.kind === 'unsupported_record' ? 'failed' : fold.status;
    return false;
  }
  const ids = decoded.isOk ? decoded.value.ids : [];
  fold.window = createDedupeWindow(ids, windowSize);
  fold.newestSnapshot = { offset: snapshot.offset };
  return followFrom(fold, snapshot.offset);
}

function followFrom(fold: FoldState, from: number): true {
  const { log, stream, ctx, waitMs, onProgress } = fold.options;
  const { window } = fold;
  fold.follower?.stop();
  fold.status = 'following';
  fold.failure = undefined;
  fold.next = from;
  fold.assembler = createSnapshotAssembler();
  ctx.log.info({ stream, from }, `log: ${stream} is followed from ${from}`);
  fold.follower = followStream({
    log,
    stream,
    from,
    ctx,
    window,
    ...(waitMs === undefined ? {} : { waitMs }),
    ...(onProgress === undefined ? {} : { onProgress }),
    onBatch: (records, next) => {
      applyBatch(fold, records, next);
    },
    onFailure: error => {
      handleFollowerFailure(fold, error);
    },
  });
  fold.waiters.wake(from);
  onProgress?.();
  return true;
}

function applyBatch(
  fold: FoldState,
  records: readonly CommittedRecord[],
  next: number,
): void {
  const applied = fold.options.state.apply(records, next);
  if (applied.isErr) {
    fail(fold, applied.error);
    return;
  }
  fold.next = next;
  records.forEach(record => {
    noteSnapshot(fold, record);
  });
  fold.waiters.wake(next);
}

function noteSnapshot(fold: FoldState, record: CommittedRecord): void {
  const newest = fold.assembler.newest();
  const complete = fold.assembler.add(record);
  if (fold.assembler.newest() !== newest) {
    fold.chunkSeenAt = record.readAt;
  }
  const isNewer =
    (complete?.offset ?? -1) >= (fold.newestSnapshot?.offset ?? 0);
  if (complete !== undefined && isNewer && isIntact(complete)) {
    fold.newestSnapshot = { offset: complete.offset, seenAt: record.readAt };
  }
}

function handleFollowerFailure(fold: FoldState, error: AppError): void {
  fold.readAt = fold.follower?.readAt();
  if (error.kind === 'log_trimmed') {
    reportFailure(fold, error);
    void recover(fold);
    return;
  }
  fail(fold, error);
}

function fail(fold: FoldState, error: AppError): void {
  const { ctx, stream, onProgress } = fold.options;
  fold.status = 'failed';
  fold.failure = error;
  fold.follower?.stop();
  fold.waiters.fail(error);
  ctx.log.error({ stream, err: error }, `log: ${stream} cannot be folded`);
  onProgress?.();
}

async function adoptSnapshot(
  fold: FoldState,
  snapshot: Snapshot,
): Promise<boolean> {
  const isNewer = snapshot.offset > (fold.next ?? -1);
  if (fold.status === 'failed' || !isNewer || !isIntact(snapshot)) {
    return false;
  }
  return restore(fold, snapshot);
}

function captureSnapshot(fold: FoldState): Promise<Snapshot> {
  return encodeSnapshot({
    offset: fold.next ?? 0,
    ids: fold.window.ids(),
    state: fold.options.state.capture(),
  });
}

function reach(
  fold: FoldState,
  offset: number,
  deadline: Instant,
): Promise<Result<void, AppError>> {
  if (fold.next !== undefined && offset <= fold.next) {
    return Promise.resolve(REACHED);
  }
  if (fold.status === 'failed' || fold.abort.signal.aborted) {
    const reason = fold.failure ?? followerStoppedError();
    return Promise.resolve(Result.err(reason));
  }
  return fold.waiters.wait(offset, deadline);
}

function stop(fold: FoldState): void {
  fold.abort.abort();
  fold.follower?.stop();
  fold.waiters.fail(followerStoppedError());
}
