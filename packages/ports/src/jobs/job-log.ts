/** Port to the log that stores the state of jobs. */

/**
 * The streams of one shard of jobs: requests of callers, decisions of the leader, a summary that status
 * requests are answered from, and snapshots from which readers of the summary start.
 */
export type JobStream = 'inbox' | 'journal' | 'summary' | 'snapshot';

/**
 * Fences and deduplicates the appends of one writer: the log refuses an epoch lower than the highest it has
 * seen, and answers a repeated recent append with its first result.
 */
export interface WriterStamp {
  readonly writer: string;
  readonly epoch: number;
  readonly sequence: number;
}

/** Result of an append. */
export type AppendResult =
  | {
      readonly kind: 'appended';
      readonly offset: number;
      readonly nextOffset: number;
    }
  /** A writer with a higher epoch has taken over; nothing was appended. */
  | { readonly kind: 'fenced' }
  /** The sequence number is not the next one of this epoch; nothing was appended. */
  | { readonly kind: 'out_of_sequence' }
  /** Nothing was or will be appended. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** The records may have been appended, or may still be. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Result of a read. */
export type ReadResult =
  | {
      readonly kind: 'records';
      readonly records: readonly Uint8Array[];
      /** Offset of the first of `records`. */
      readonly offset: number;
      readonly endOffset: number;
    }
  /** The requested records have been removed by retention. */
  | { readonly kind: 'trimmed'; readonly firstOffset: number }
  | { readonly kind: 'unavailable'; readonly reason: string };

/** Limits of a read. */
export interface ReadLimits {
  /** Maximum time to wait for a record, in milliseconds; 0 returns at once. */
  readonly waitMs: number;
  /** Maximum total size of the returned records, in bytes. */
  readonly maxBytes: number;
}

/** Client of the streams. */
export interface JobLog {
  append(
    stream: JobStream,
    records: readonly Uint8Array[],
    stamp?: WriterStamp,
  ): Promise<AppendResult>;
  /** Returns the records from offset `from` on, within `limits`. */
  read(
    stream: JobStream,
    from: number,
    limits: ReadLimits,
  ): Promise<ReadResult>;
}
