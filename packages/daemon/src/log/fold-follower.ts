/** Folds a stream from its last whole snapshot on, and recovers again when entries expired unread. */
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
  followerStopped,
  type OffsetWaiters,
} from './offset-waiters.js';
import { findStart, isWhole } from './recovery.js';
import { decodeSnapshot, encodeSnapshot } from './snapshot-text.js';
import { backoffMs, createPause, scheduleOf, type Pause } from './timing.js';

/** The state that a stream folds to. */
export interface FoldedState {
  /** Folds the new records of one entry; fails with `unsupported_record` and changes nothing. */
  apply(
    records: readonly CommittedRecord[],
    next: number,
  ): Result<unknown, AppError>;
  /** The state as text, the same on every host at the same offset. */
  capture(): string;
  /** Takes over a captured state; fails with `invalid` or `unsupported_record`. */
  restore(text: string, offset: number): Result<unknown, AppError>;
}

/** What a fold is started with. */
export interface FoldOptions {
  readonly log: LogService;
  readonly stream: string;
  readonly ctx: PartContext;
  readonly state: FoldedState;
  /** Called after the state moved on, or the head was read again. */
  readonly onProgress?: () => void;
  /** Record ids remembered for dedupe. */
  readonly windowSize?: number;
  readonly waitMs?: Millis;
}

/** How a fold fares: `failed` is final, `recovering` goes on by itself. */
export type FoldStatus = 'recovering' | 'following' | 'failed';

/** A whole snapshot that was read; `seenAt` is absent when it was found at recovery. */
export interface SeenSnapshot {
  readonly offset: number;
  readonly seenAt?: Instant;
}

/** A stream being folded. */
export interface FoldFollower extends StreamFollower {
  status(): FoldStatus;
  /** Why the fold does not follow, if so. */
  failure(): AppError | undefined;
  /** Whether a read of the head has succeeded since the start and everything before it is folded. */
  caughtUp(): boolean;
  head(): number | undefined;
  first(): number | undefined;
  /** When the log last answered. */
  readAt(): Instant | undefined;
  /** Reads again at once, if the fold is waiting after a failed read. */
  wake(): void;
  /** The present state as a snapshot. */
  snapshot(): Promise<Snapshot>;
  /** Takes over a peer's snapshot; false unless it is whole and newer than the present state. */
  adopt(snapshot: Snapshot): Promise<boolean>;
  /** The newest whole snapshot in the stream. */
  lastSnapshot(): SeenSnapshot | undefined;
  /** When a chunk of a newer snapshot was last read. */
  chunkSeenAt(): Instant | undefined;
}

interface Folding {
  readonly options: FoldOptions;
  readonly waiters: OffsetWaiters;
  readonly abort: AbortController;
  readonly pause: Pause;
  window: DedupeWindow;
  assembler: SnapshotAssembler;
  follower: LogFollower | undefined;
  status: FoldStatus;
  failure: AppError | undefined;
  /** Next offset to be folded; undefined before there is a state. */
  next: number | undefined;
  readAt: Instant | undefined;
  seen: SeenSnapshot | undefined;
  chunkSeenAt: Instant | undefined;
}

/** Starts to fold a stream. */
export function followFold(options: FoldOptions): FoldFollower {
  const folding: Folding = {
    options,
    waiters: createOffsetWaiters(options.ctx, options.stream),
    abort: new AbortController(),
    pause: createPause(scheduleOf(options.ctx)),
    window: createDedupeWindow([], options.windowSize),
    assembler: createSnapshotAssembler(),
    follower: undefined,
    status: 'recovering',
    failure: undefined,
    next: undefined,
    readAt: undefined,
    seen: undefined,
    chunkSeenAt: undefined,
  };
  void recover(folding);
  return {
    offset: () => folding.next ?? 0,
    status: () => folding.status,
    failure: () => folding.failure,
    caughtUp: () => folding.follower?.caughtUp() ?? false,
    head: () => folding.follower?.head(),
    first: () => folding.follower?.first(),
    readAt: () => folding.follower?.readAt() ?? folding.readAt,
    reach: (offset, deadline) => reach(folding, offset, deadline),
    wake: () => {
      folding.pause.wake();
      folding.follower?.wake();
    },
    snapshot: () => snapshotOf(folding),
    adopt: snapshot => adopt(folding, snapshot),
    lastSnapshot: () => folding.seen,
    chunkSeenAt: () => folding.chunkSeenAt,
    stop: () => {
      stop(folding);
    },
  };
}

/** Looks for a start until one is found, or a peer's snapshot is adopted. */
async function recover(folding: Folding): Promise<void> {
  const { log, stream, ctx } = folding.options;
  folding.status = 'recovering';
  let failures = 0;
  while (isRecovering(folding)) {
    const start = await findStart(log, stream, folding.next);
    if (!isRecovering(folding)) {
      return;
    }
    if (start.isOk) {
      const begun =
        start.value.kind === 'beginning'
          ? beginAt(folding, 0)
          : await restore(folding, start.value.snapshot);
      if (begun) {
        return;
      }
    } else {
      noteFailure(folding, start.error);
    }
    failures++;
    const wait = backoffMs(failures, ctx.random);
    await folding.pause.wait(wait, folding.abort.signal);
  }
}

function isRecovering({ status, abort }: Folding): boolean {
  return status === 'recovering' && !abort.signal.aborted;
}

function noteFailure(folding: Folding, error: AppError): void {
  const { ctx, stream } = folding.options;
  if (folding.failure?.kind !== error.kind) {
    ctx.log.warn({ stream, err: error }, `log: ${stream} cannot be recovered`);
  }
  folding.failure = error;
}

async function restore(folding: Folding, snapshot: Snapshot): Promise<boolean> {
  const { state, windowSize } = folding.options;
  const decoded = await decodeSnapshot(snapshot);
  const isNewer = snapshot.offset >= (folding.next ?? 0);
  if (folding.abort.signal.aborted || !isNewer) {
    return false;
  }
  const restored = decoded.isOk
    ? state.restore(decoded.value.state, snapshot.offset)
    : Result.err<unknown, AppError>(decoded.error);
  if (restored.isErr) {
    noteFailure(folding, restored.error);
    folding.status =
      restored.error.kind === 'unsupported_record' ? 'failed' : folding.status;
    return false;
  }
  const ids = decoded.isOk ? decoded.value.ids : [];
  folding.window = createDedupeWindow(ids, windowSize);
  folding.seen = { offset: snapshot.offset };
  return beginAt(folding, snapshot.offset);
}

function beginAt(folding: Folding, from: number): true {
  const { log, stream, ctx, waitMs, onProgress } = folding.options;
  const { window } = folding;
  folding.follower?.stop();
  folding.status = 'following';
  folding.failure = undefined;
  folding.next = from;
  folding.assembler = createSnapshotAssembler();
  ctx.log.info({ stream, from }, `log: ${stream} is followed from ${from}`);
  folding.follower = followStream({
    log,
    stream,
    from,
    ctx,
    window,
    ...(waitMs === undefined ? {} : { waitMs }),
    ...(onProgress === undefined ? {} : { onProgress }),
    onBatch: (records, next) => {
      apply(folding, records, next);
    },
    onFailure: error => {
      followFailed(folding, error);
    },
  });
  folding.waiters.wake(from);
  onProgress?.();
  return true;
}

function apply(
  folding: Folding,
  records: readonly CommittedRecord[],
  next: number,
): void {
  const applied = folding.options.state.apply(records, next);
  if (applied.isErr) {
    fail(folding, applied.error);
    return;
  }
  folding.next = next;
  records.forEach(record => {
    noteSnapshot(folding, record);
  });
  folding.waiters.wake(next);
}

function noteSnapshot(folding: Folding, record: CommittedRecord): void {
  const newest = folding.assembler.newest();
  const whole = folding.assembler.add(record);
  if (folding.assembler.newest() !== newest) {
    folding.chunkSeenAt = record.readAt;
  }
  const isNewer = (whole?.offset ?? -1) >= (folding.seen?.offset ?? 0);
  if (whole !== undefined && isNewer && isWhole(whole)) {
    folding.seen = { offset: whole.offset, seenAt: record.readAt };
  }
}

function followFailed(folding: Folding, error: AppError): void {
  folding.readAt = folding.follower?.readAt();
  if (error.kind === 'log_trimmed') {
    noteFailure(folding, error);
    void recover(folding);
    return;
  }
  fail(folding, error);
}

function fail(folding: Folding, error: AppError): void {
  const { ctx, stream, onProgress } = folding.options;
  folding.status = 'failed';
  folding.failure = error;
  folding.follower?.stop();
  folding.waiters.fail(error);
  ctx.log.error({ stream, err: error }, `log: ${stream} cannot be folded`);
  onProgress?.();
}

async function adopt(folding: Folding, snapshot: Snapshot): Promise<boolean> {
  const isNewer = snapshot.offset > (folding.next ?? -1);
  if (folding.status === 'failed' || !isNewer || !isWhole(snapshot)) {
    return false;
  }
  return restore(folding, snapshot);
}

function snapshotOf(folding: Folding): Promise<Snapshot> {
  return encodeSnapshot({
    offset: folding.next ?? 0,
    ids: folding.window.ids(),
    state: folding.options.state.capture(),
  });
}

function reach(
  folding: Folding,
  offset: number,
  deadline: Instant,
): Promise<Result<void, AppError>> {
  if (folding.next !== undefined && offset <= folding.next) {
    return Promise.resolve(REACHED);
  }
  if (folding.status === 'failed' || folding.abort.signal.aborted) {
    const reason = folding.failure ?? followerStopped();
    return Promise.resolve(Result.err(reason));
  }
  return folding.waiters.wait(offset, deadline);
}

function stop(folding: Folding): void {
  folding.abort.abort();
  folding.follower?.stop();
  folding.waiters.fail(followerStopped());
}
