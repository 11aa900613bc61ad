/** Queue of records of one stream that wait to be committed, taken out in batches. */
import {
  appError,
  type AppError,
  type Instant,
  type Position,
  type StreamRecord,
} from '@paddlewind/domain';
import type { Result } from 'true-myth';

import { SNAPSHOT_KIND_PREFIX } from './priority.js';

/** Time after which a caller may retry when the log is unavailable. */
export const LOG_RETRY_AFTER_MS = 1_000;

/** Limits of a batch and of the waiting records of one stream. */
export interface CommitLimits {
  readonly maxBatchRecords: number;
  readonly maxBatchBytes: number;
  readonly maxWaitingRecords: number;
  readonly maxWaitingBytes: number;
}

/** State of the append attempts of a record: `unknown` once one may have succeeded without a reply. */
export type AttemptState = 'not_sent' | 'in_flight' | 'unknown';

/** Record that is being committed. */
export interface PendingRecord {
  readonly record: StreamRecord;
  /** Approximate size of the record's JSON: characters are counted. */
  readonly bytes: number;
  readonly deadline: Instant;
  attemptState: AttemptState;
  /** Head of the stream before the first attempt; the record cannot be at an earlier offset. */
  minOffset?: number;
  settled: boolean;
  readonly settle: (result: Result<Position, AppError>) => void;
}

/** Waiting records in order; snapshot chunks come after all others. */
export interface CommitQueue {
  /** Adds a record; returns false if the queue is full. */
  offer(pending: PendingRecord): boolean;
  /** Puts the unsettled records of a batch back at the front. */
  requeue(batch: readonly PendingRecord[]): void;
  /** Removes and returns the records of the next batch, at most `maxRecords`. */
  takeBatch(maxRecords?: number): PendingRecord[];
  /** Removes records that were settled while they waited. */
  removeSettled(): void;
  /** Returns `records` if ordinary records wait, `snapshots` if only snapshot chunks wait. */
  front(): 'nothing' | 'records' | 'snapshots';
  size(): number;
  /** Removes and returns all records. */
  clear(): PendingRecord[];
}

/** Creates an empty queue. */
export function createCommitQueue(limits: CommitLimits): CommitQueue {
  let records: PendingRecord[] = [];
  let snapshots: PendingRecord[] = [];
  let bytes = 0;

  function offer(pending: PendingRecord): boolean {
    const isFull =
      records.length + snapshots.length >= limits.maxWaitingRecords ||
      bytes + pending.bytes > limits.maxWaitingBytes;
    if (isFull) {
      return false;
    }
    bytes += pending.bytes;
    queueOf(pending).push(pending);
    return true;
  }

  function queueOf(pending: PendingRecord): PendingRecord[] {
    return isSnapshot(pending) ? snapshots : records;
  }

  function requeue(batch: readonly PendingRecord[]): void {
    const unsettled = batch.filter(pending => !pending.settled);
    records.unshift(...unsettled.filter(pending => !isSnapshot(pending)));
    snapshots.unshift(...unsettled.filter(isSnapshot));
    bytes += bytesOf(unsettled);
  }

  function takeBatch(maxRecords = limits.maxBatchRecords): PendingRecord[] {
    removeSettled();
    const maxCount = Math.min(maxRecords, limits.maxBatchRecords);
    const taken = records.splice(0, countFitting(maxCount));
    const freeBytes = limits.maxBatchBytes - bytesOf(taken);
    const chunk = snapshots[0];
    if (
      chunk !== undefined &&
      (taken.length === 0 || chunk.bytes <= freeBytes)
    ) {
      taken.push(...snapshots.splice(0, 1));
    }
    bytes -= bytesOf(taken);
    return taken;
  }

  function countFitting(maxRecords: number): number {
    let size = 0;
    let count = 0;
    for (const pending of records) {
      size += pending.bytes;
      const isOver = count > 0 && size > limits.maxBatchBytes;
      if (isOver || count === maxRecords) {
        break;
      }
      count++;
    }
    return count;
  }

  function removeSettled(): void {
    records = records.filter(pending => !pending.settled);
    snapshots = snapshots.filter(pending => !pending.settled);
    bytes = bytesOf(records) + bytesOf(snapshots);
  }

  function front(): 'nothing' | 'records' | 'snapshots' {
    if (records.length > 0) {
      return 'records';
    }
    return snapshots.length > 0 ? 'snapshots' : 'nothing';
  }

  function clear(): PendingRecord[] {
    const all = [...records, ...snapshots];
    records = [];
    snapshots = [];
    bytes = 0;
    return all;
  }

  return {
    offer,
    requeue,
    takeBatch,
    removeSettled,
    front,
    size: () => records.length + snapshots.length,
    clear,
  };
}

function isSnapshot(pending: PendingRecord): boolean {
  return pending.record.kind.startsWith(SNAPSHOT_KIND_PREFIX);
}

function bytesOf(batch: readonly PendingRecord[]): number {
  return batch.reduce((sum, pending) => sum + pending.bytes, 0);
}

/** Creates the error of a record whose deadline passed or whose committer stopped. */
export function unsettledError(pending: PendingRecord): AppError {
  return pending.attemptState === 'not_sent'
    ? notWrittenError('The log did not take the record by its deadline.')
    : appError(
        'log_unavailable',
        'The log did not tell by the deadline whether it took the record.',
        { outcome: 'unknown' },
      );
}

/** Creates the error of a record that was certainly not written. */
export function notWrittenError(message: string): AppError {
  return appError('log_unavailable', message, {
    outcome: 'not_run',
    retryAfterMs: LOG_RETRY_AFTER_MS,
  });
}
