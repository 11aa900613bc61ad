/** Reads a stream back to find out whether records were written to it. */
import { decodeBatch, type AppError, type Position } from '@paddlewind/domain';
import {
  END_OF_STREAM,
  type LogEntry,
  type LogPage,
  type LogService,
} from '@paddlewind/ports';
import { Result } from 'true-myth';

/** Maximum entries per read. */
export const READ_LIMIT = 256;

/** Reads the oldest retained offset and the head of a stream. */
export function readBounds(
  log: LogService,
  stream: string,
): Promise<Result<LogPage, AppError>> {
  return log.read({ stream, from: END_OF_STREAM, limit: 1, waitMs: 0 });
}

/** First positions of the records found, and the offset after the last entry read. */
export interface ReadBack {
  readonly found: ReadonlyMap<string, Position>;
  readonly end: number;
}

/** Searches a stream from `from` to its head for the records `ids`; expired entries are skipped. */
export async function readBack(
  log: LogService,
  stream: string,
  ids: ReadonlySet<string>,
  from: number,
): Promise<Result<ReadBack, AppError>> {
  const found = new Map<string, Position>();
  let next = from;
  for (;;) {
    const page = await readRetained(log, stream, next);
    if (page.isErr) {
      return Result.err(page.error);
    }
    const { entries, first, head } = page.value;
    entries.forEach(entry => {
      collectMatches(found, ids, entry);
    });
    next = Math.max(next, first, (entries.at(-1)?.offset ?? -1) + 1);
    if (next >= head || entries.length === 0) {
      return Result.ok({ found, end: next });
    }
  }
}

/** Reads a page from `from`, or from the oldest retained offset if that is later. */
export async function readRetained(
  log: LogService,
  stream: string,
  from: number,
): Promise<Result<LogPage, AppError>> {
  const req = { stream, limit: READ_LIMIT, waitMs: 0 };
  const page = await log.read({ ...req, from });
  if (page.isOk || page.error.kind !== 'log_trimmed') {
    return page;
  }
  const bounds = await readBounds(log, stream);
  return bounds.isErr ? bounds : log.read({ ...req, from: bounds.value.first });
}

function collectMatches(
  found: Map<string, Position>,
  ids: ReadonlySet<string>,
  entry: LogEntry,
): void {
  const batch = decodeBatch(entry.payload);
  if (batch.isErr) {
    return;
  }
  batch.value.records.forEach((record, index) => {
    if (ids.has(record.id) && !found.has(record.id)) {
      found.set(record.id, { offset: entry.offset, index });
    }
  });
}
