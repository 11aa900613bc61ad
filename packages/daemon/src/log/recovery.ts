/** Recovery of a stream's state: the last whole snapshot, to be followed by the tail. */
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

import { READ_LIMIT, readEnds } from './read-back.js';

/** Returns the digest that a snapshot's text is checked by. */
export function snapshotHash(text: string): string {
  return createHash('sha256').update(text).digest('base64url');
}

/** Tells whether a snapshot's text is what was written. */
export function isWhole(snapshot: Snapshot): boolean {
  return snapshotHash(snapshot.text) === snapshot.hash;
}

/** Where to begin: a snapshot and its tail, or the first entry when all are kept. */
export type RecoveryStart =
  | { readonly kind: 'snapshot'; readonly snapshot: Snapshot }
  | { readonly kind: 'beginning' };

interface Span {
  readonly from: number;
  readonly to: number;
}

/**
 * Finds the newest whole snapshot that stands for `least` or later, searching back from the
 * head; fails with `log_trimmed` when none is kept and entries have expired.
 */
export async function findStart(
  log: LogService,
  stream: string,
  least = 0,
): Promise<Result<RecoveryStart, AppError>> {
  const ends = await readEnds(log, stream);
  if (ends.isErr) {
    return Result.err(ends.error);
  }
  const { first, head } = ends.value;
  const assembler = createSnapshotAssembler();
  let to = head;
  let size = READ_LIMIT;
  while (to > first) {
    const from = Math.max(first, to - size);
    const found = await searchSpan(log, stream, { from, to }, assembler);
    if (found.isErr) {
      return Result.err(found.error);
    }
    const usable = newestOf(found.value, Math.max(first, least));
    if (usable !== undefined) {
      return Result.ok({ kind: 'snapshot', snapshot: usable });
    }
    to = from;
    size *= 2;
  }
  return first === 0 && least === 0
    ? Result.ok({ kind: 'beginning' })
    : Result.err(noSnapshot(stream, first));
}

/** Reads the entries of a span and returns the snapshots that became whole. */
async function searchSpan(
  log: LogService,
  stream: string,
  { from, to }: Span,
  assembler: SnapshotAssembler,
): Promise<Result<Snapshot[], AppError>> {
  const whole: Snapshot[] = [];
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
    whole.push(
      ...page.value.entries.flatMap(entry => wholeIn(entry, assembler)),
    );
    next = last.offset + 1;
  }
  return Result.ok(whole);
}

function wholeIn(entry: LogEntry, assembler: SnapshotAssembler): Snapshot[] {
  const batch = decodeBatch(entry.payload);
  const records = batch.isOk ? batch.value.records : [];
  return records.flatMap(record => {
    const snapshot = assembler.add(record);
    return snapshot !== undefined && isWhole(snapshot) ? [snapshot] : [];
  });
}

function newestOf(
  snapshots: readonly Snapshot[],
  least: number,
): Snapshot | undefined {
  return snapshots
    .filter(snapshot => snapshot.offset >= least)
    .sort((a, b) => b.offset - a.offset)[0];
}

function noSnapshot(stream: string, first: number): AppError {
  return appError(
    'log_trimmed',
    `Entries of ${stream} before ${first} have expired and no whole snapshot covers them.`,
  );
}
