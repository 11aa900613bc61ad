/** Records of one stream that wait to be committed, and how a batch is made of them. */
import {
  appError,
  type AppError,
  type Instant,
  type Position,
  type StreamRecord,
} from '@paddlewind/domain';
import type { Result } from 'true-myth';

import { SNAPSHOT_KIND_PREFIX } from './priority.js';

/** When a caller may try again after the log failed it, in milliseconds. */
export const LOG_RETRY_AFTER_MS = 1_000;

/** Bounds of a batch and of the records that wait for one stream. */
export interface CommitLimits {
  readonly maxBatchRecords: number;
  readonly maxBatchBytes: number;
  readonly maxWaitingRecords: number;
  readonly maxWaitingBytes: number;
}

/** What is known of the tries of a record: `unknown` once one may have taken effect unseen. */
export type TryState = 'not_sent' | 'in_flight' | 'unknown';

/** A record on its way into the log. */
export interface PendingRecord {
  readonly record: StreamRecord;
  /** Bytes of the record's JSON, roughly: characters are counted. */
  readonly bytes: number;
  readonly deadline: Instant;
  tries: TryState;
  /** Head of the stream before the first try; the record cannot stand before it. */
  since?: number;
  settled: boolean;
  readonly settle: (result: Result<Position, AppError>) => void;
}

/** Waiting records in order; snapshot chunks go behind the others. */
export interface CommitQueue {
  /** Adds a record; false when the queue is full. */
  offer(pending: PendingRecord): boolean;
  /** Puts back a batch whose append failed, before everything else. */
  putBack(batch: readonly PendingRecord[]): void;
  /** Takes the records of the next batch, at most `maxRecords`. */
  takeBatch(maxRecords?: number): PendingRecord[];
  /** Forgets records that were settled meanwhile. */
  prune(): void;
  /** What waits at the front: nothing, ordinary records, or snapshot chunks only. */
  front(): 'nothing' | 'records' | 'snapshots';
  size(): number;
  /** Takes everything out. */
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
    laneOf(pending).push(pending);
    return true;
  }

  function laneOf(pending: PendingRecord): PendingRecord[] {
    return isSnapshot(pending) ? snapshots : records;
  }

  function putBack(batch: readonly PendingRecord[]): void {
    const live = batch.filter(pending => !pending.settled);
    records.unshift(...live.filter(pending => !isSnapshot(pending)));
    snapshots.unshift(...live.filter(isSnapshot));
    bytes += bytesOf(live);
  }

  function takeBatch(maxRecords = limits.maxBatchRecords): PendingRecord[] {
    prune();
    const most = Math.min(maxRecords, limits.maxBatchRecords);
    const taken = records.splice(0, countUpTo(most));
    const room = limits.maxBatchBytes - bytesOf(taken);
    const chunk = snapshots[0];
    if (chunk !== undefined && (taken.length === 0 || chunk.bytes <= room)) {
      taken.push(...snapshots.splice(0, 1));
    }
    bytes -= bytesOf(taken);
    return taken;
  }

  function countUpTo(maxRecords: number): number {
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

  function prune(): void {
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
    putBack,
    takeBatch,
    prune,
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

/** The error of a record whose deadline passed, or whose committer stopped. */
export function expired(pending: PendingRecord): AppError {
  return pending.tries === 'not_sent'
    ? notWritten('The log did not take the record by its deadline.')
    : appError(
        'log_unavailable',
        'The log did not tell by the deadline whether it took the record.',
        { outcome: 'unknown' },
      );
}

/** The error of a record that surely was not written. */
export function notWritten(message: string): AppError {
  return appError('log_unavailable', message, {
    outcome: 'not_run',
    retryAfterMs: LOG_RETRY_AFTER_MS,
  });
}
