/** The log service as the rest of the system sees it. */
import type { AppError } from '@paddlewind/domain';
import type { Result } from 'true-myth';

/** One entry of a stream. */
export interface LogEntry {
  readonly offset: number;
  readonly payload: string;
}

/** A run of entries; `first` is the oldest retained offset, `head` the next to be written. */
export interface LogPage {
  readonly entries: readonly LogEntry[];
  readonly first: number;
  readonly head: number;
}

/** Offset beyond every head: a read from here that waits 0 ms tells `first` and `head`. */
export const END_OF_STREAM = Number.MAX_SAFE_INTEGER;

/** What to read: entries from `from` on; waits up to `waitMs` when there is none yet. */
export interface ReadRequest {
  readonly stream: string;
  readonly from: number;
  readonly limit: number;
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** An append-only log with offsets, limited retention and outages. */
export interface LogService {
  /**
   * Appends one entry and resolves to its offset.
   * Fails with `log_unavailable`; outcome `unknown` when the entry may have been kept,
   * `not_run` only when the request surely had no effect, and `overloaded` over the append rate.
   */
  append(stream: string, payload: string): Promise<Result<number, AppError>>;
  /**
   * Reads a page; fails with `log_unavailable`, or `log_trimmed` when `from` is older than kept.
   * A `from` beyond the head gives an empty page that tells `first` and `head`, see `END_OF_STREAM`.
   */
  read(req: ReadRequest): Promise<Result<LogPage, AppError>>;
}
