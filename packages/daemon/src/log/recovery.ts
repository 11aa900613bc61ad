/** Finds the snapshot from which the state of a stream is recovered. */
import { createHash } from 'node:crypto';

import {
  appError,
  createSnapshotAssembler,
  decodeBatch,
  type AppError,
  type Snapshot,
  type SnapshotAssembler,
} from '@paddlewind/domain';
import type { LogEntry, LogService } from '@paddlewind/ports';
import { Result } from 'true-myth';

import { READ_LIMIT, readBounds } from './read-back.js';

/** Returns the digest of a snapshot's text. */
export function snapshotHash(text: string): string {
  return createHash('sha256').update(text).digest('base64url');
}

/** Returns whether a snapshot's text matches its hash. */
export function isIntact(snapshot: Snapshot): boolean {
  return snapshotHash(snapshot.text) === snapshot.hash;
}

/** Start of a recovery: a snapshot, or the beginning of the stream if all entries are retained. */
export type RecoveryStart =
  | { readonly kind: 'snapshot'; readonly snapshot: Snapshot }
  | { readonly kind: 'beginning' };

interface OffsetRange {
  readonly from: number;
  readonly to: number;
}

/**
 * Finds the newest complete snapshot at `minOffset` or later, searching backwards from the head.
 * Fails with `log_trimmed` if there is none and a start at the first entry is not possible.
 */
export async function findStart(
  log: LogService,
  stream: string,
  minOffset = 0,
): Promise<Result<RecoveryStart, AppError>> {
  const bounds = await readBounds(log, stream);
  if (bounds.isErr) {
    return Result.err(bounds.error);
  }
  const { first, head } = bounds.value;
  const assembler = createSnapshotAssembler();
  let to = head;
  let size = READ_LIMIT;
  while (to > first) {
    const from = Math.max(first, to - size);
    const found = await searchRange(log, stream, { from, to }, assembler);
    if (found.isErr) {
      return Result.err(found.error);
    }
    const usable = newestOf(found.value, Math.max(first, minOffset));
    if (usable !== undefined) {
      return Result.ok({ kind: 'snapshot', snapshot: usable });
    }
    to = from;
    size *= 2;
  }
  return first === 0 && minOffset === 0
    ? Result.ok({ kind: 'beginning' })
    : Result.err(noSnapshotError(stream, first));
}

/** Reads the entries of a range and returns the snapshots that they complete. */
async function searchRange(
  log: LogService,
  stream: string,
  { from, to }: OffsetRange,
  assembler: SnapshotAssembler,
): Promise<Result<Snapshot[], AppError>> {
  const completed: Snapshot[] = [];
  let next = from;
  while (next < to) {
    const limit = Math.min(READ_LIMIT, to - next);
    const page = await log.read({ stream, from: next, limit, waitMs: 0 });
    if (page.isErr) {
      return Result.err(page.error);
    }
    const last = page.value.entries.at(-1);
    if (last === undefined) {
      break;
    }
    completed.push(
      ...page.value.entries.flatMap(entry =>
        snapshotsCompletedBy(entry, assembler),
      ),
    );
    next = last.offset + 1;
  }
  return Result.ok(completed);
}

function snapshotsCompletedBy(
  entry: LogEntry,
  assembler: SnapshotAssembler,
): Snapshot[] {
  const batch = decodeBatch(entry.payload);
  const records = batch.isOk ? batch.value.records : [];
  return records.flatMap(record => {
    const snapshot = assembler.add(record);
    return snapshot !== undefined && isIntact(snapshot) ? [snapshot] : [];
  });
}

function newestOf(
  snapshots: readonly Snapshot[],
  minOffset: number,
): Snapshot | undefined {
  return snapshots
    .filter(snapshot => snapshot.offset >= minOffset)
    .sort((a, b) => b.offset - a.offset)[0];
}

function noSnapshotError(stream: string, first: number): AppError {
  return appError(
    'log_trimmed',
    `Entries of ${stream} before ${first} have expired and no whole snapshot covers them.`,
  );
}
