/** Port to the log service. */
import type { AppError } from '@paddlewind/domain';
import type { Result } from 'true-myth';

/** One entry of a stream. */
export interface LogEntry {
  readonly offset: number;
  readonly payload: string;
}

/** Consecutive entries; `first` is the oldest retained offset, `head` the next one to be written. */
export interface LogPage {
  readonly entries: readonly LogEntry[];
  readonly first: number;
  readonly head: number;
}

/** Offset beyond every head: a read from here with `waitMs` 0 returns only `first` and `head`. */
export const END_OF_STREAM = Number.MAX_SAFE_INTEGER;

/** Reads entries from offset `from` on; waits up to `waitMs` if there are none yet. */
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
   * Appends one entry and returns its offset. Fails with `overloaded` over the append rate, otherwise with
   * `log_unavailable`: its outcome is `not_run` only if the request certainly had no effect, and `unknown` if
   * the entry may have been stored.
   */
  append(stream: string, payload: string): Promise<Result<number, AppError>>;
  /**
   * Reads a page; fails with `log_unavailable`, or with `log_trimmed` if `from` is no longer retained.
   * A `from` beyond the head returns an empty page with `first` and `head`, see `END_OF_STREAM`.
   */
  read(req: ReadRequest): Promise<Result<LogPage, AppError>>;
}
