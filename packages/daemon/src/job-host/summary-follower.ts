/** Reads the summary: the state of jobs and the leader, for hosts that do not read the journal. */
import type { Instant } from '@paddlewind/domain';
import {
  decodeInbox,
  decodeSummary,
  NO_LIMITS,
  FORECAST_VALID_MS,
  Summary,
  type InboxRecord,
  type SummaryRecord,
  type AdmissionLimits,
} from '@paddlewind/domain/jobs';
import type { JobLog, JobStream } from '@paddlewind/ports/jobs';

import { coalesce } from './coalesce.js';
import type { HostContext } from './context.js';
import { AdaptiveReadSize } from './adaptive-read-size.js';

/** Size of a read that only locates the first record that the log still keeps. */
const PROBE_BYTES = 1_024;
/**
 * Number of records from the end that the search for the newest complete snapshot starts with, and
 * the factor by which it grows.
 */
const SNAPSHOT_SEARCH_FACTOR = 4;

/** Result of reading one stream to its end. */
type StreamRead =
  | { readonly kind: 'all'; readonly nextOffset: number }
  | { readonly kind: 'trimmed'; readonly firstOffset: number }
  | { readonly kind: 'unavailable' };

/** A submission that the summary may not include yet. */
interface PendingSubmission {
  readonly queue: string;
  readonly offset: number;
}

/** The leader according to the summary. */
export interface LeaderInfo {
  readonly epoch: number;
  readonly host: string;
  readonly address: string;
  readonly standbys: readonly string[];
  readonly limits?: AdmissionLimits;
}

/** Follows the summary and, on request, the end of the inbox. */
export class SummaryFollower {
  summary = new Summary();
  /** The newest leader in the summary. */
  leaderInfo: LeaderInfo | undefined;
  /** Monotonic time at which a leader's records last arrived. */
  leaderReceivedAt: Instant = -Infinity;
  /** Monotonic time of the last answer from the log. */
  contactAt: Instant = -Infinity;
  /** Monotonic time up to which the summary is known; `-Infinity` before the first read to its end. */
  knownAsOf: Instant = -Infinity;
  /** Monotonic time up to which all submissions are known. */
  inboxKnownAsOf: Instant = -Infinity;
  /** Reads the summary to its end; false if the log did not answer or there is no complete snapshot. */
  readonly refresh = coalesce(() => this.readSummary());
  /** Reads the submissions that the summary does not include yet; false if that failed. */
  readonly refreshInbox = coalesce(() => this.readInbox());

  private readonly readSize = new AdaptiveReadSize();
  /** Offset of the next summary record to read; undefined until a snapshot was read. */
  private next: number | undefined;
  private nextInbox = 0;
  private readonly pendingSubmissions = new Map<string, PendingSubmission>();

  /** Creates a follower that has read nothing. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
  ) {}

  /** Whether there is a summary and all of it has been read once. */
  get isComplete(): boolean {
    return this.leaderInfo !== undefined && this.knownAsOf > -Infinity;
  }

  /** Whether a job is known. */
  has(job: string): boolean {
    return (
      this.summary.statusOf(job) !== undefined ||
      this.pendingSubmissions.has(job)
    );
  }

  /** Returns the number of waiting jobs of a queue, including submissions not yet in the summary. */
  waitingIn(queue: string): number {
    let count = this.summary.waitingIn(queue);
    for (const [job, found] of this.pendingSubmissions) {
      const isNew = this.summary.statusOf(job) === undefined;
      count += Number(isNew && found.queue === queue);
    }
    return count;
  }

  /** Records a submission at `offset` of the inbox. */
  noteSubmitted(record: InboxRecord, offset: number): void {
    this.contactAt = this.ctx.clock();
    if (record.kind === 'submit' && offset >= this.summary.inboxUpTo) {
      const { queue } = record.job.terms;
      this.pendingSubmissions.set(record.job.id, { queue, offset });
    }
  }

  private async readSummary(): Promise<boolean> {
    const sentAt = this.ctx.clock();
    this.next ??= await this.readNewestSnapshot();
    if (this.next === undefined) {
      return false;
    }
    const found = await this.readStream(
      'summary',
      this.next,
      (record, offset) => {
        this.next = offset + 1;
        this.apply(decodeSummary(record));
      },
    );
    if (found.kind === 'trimmed') {
      this.reset();
    }
    if (found.kind !== 'all') {
      return false;
    }
    this.knownAsOf = sentAt;
    return true;
  }

  /** Reads the newest complete snapshot; undefined if there should be one but none was found. */
  private async readNewestSnapshot(): Promise<number | undefined> {
    const bounds = await this.keptSnapshots();
    if (bounds === undefined) {
      return undefined;
    }
    const { first, end } = bounds;
    if (end === 0) {
      // As long as there was no snapshot, the summary holds all jobs from its start.
      return 0;
    }
    for (let back = SNAPSHOT_SEARCH_FACTOR; ; back *= SNAPSHOT_SEARCH_FACTOR) {
      const from = Math.max(first, end - back);
      const next = await this.readSnapshots(from);
      if (next !== undefined || from === first) {
        return next;
      }
    }
  }

  /** Returns the offsets of the first snapshot record that is kept and of the end of the stream. */
  private async keptSnapshots(): Promise<
    { readonly first: number; readonly end: number } | undefined
  > {
    const limits = { waitMs: 0, maxBytes: PROBE_BYTES };
    let first = 0;
    let found = await this.jobLog.read('snapshot', first, limits);
    if (found.kind === 'trimmed') {
      first = found.firstOffset;
      found = await this.jobLog.read('snapshot', first, limits);
    }
    return found.kind === 'records'
      ? { first, end: found.endOffset }
      : undefined;
  }

  /**
   * Applies the snapshots from an offset on; returns the summary offset at which to continue after
   * the last complete one.
   */
  private async readSnapshots(from: number): Promise<number | undefined> {
    let next: number | undefined;
    let parts = 0;
    const found = await this.readStream('snapshot', from, bytes => {
      const record = decodeSummary(bytes);
      this.apply(record);
      if (record?.kind === 'snapshot') {
        parts = record.part === 0 ? 1 : parts + 1;
        next = parts === record.parts ? record.summaryUpTo : next;
      }
    });
    return found.kind === 'all' ? next : undefined;
  }

  private async readInbox(): Promise<boolean> {
    const sentAt = this.ctx.clock();
    const from = Math.max(this.nextInbox, this.summary.inboxUpTo);
    const found = await this.readStream('inbox', from, (bytes, offset) => {
      this.nextInbox = offset + 1;
      const record = decodeInbox(bytes);
      if (record !== undefined) {
        this.noteSubmitted(record, offset);
      }
    });
    if (found.kind !== 'all') {
      return false;
    }
    this.inboxKnownAsOf = sentAt;
    return true;
  }

  private apply(record: SummaryRecord | undefined): void {
    const now = this.ctx.clock();
    switch (record?.kind) {
      case 'leads':
        if (record.epoch >= (this.leaderInfo?.epoch ?? 0)) {
          this.leaderInfo = { ...record, limits: this.datedLimits(record) };
          this.leaderReceivedAt = now;
        }
        return;
      case 'rows':
        this.leaderReceivedAt = now;
        this.applyRows(record);
        return;
      case 'snapshot':
        this.applyRows(record);
        return;
      case undefined:
        return;
    }
  }

  /**
   * Returns the limits with the time until which their forecast is used, counted from the read before this one:
   * the record may have been written right after that, which is long ago after an outage of the log.
   */
  private datedLimits({ limits = NO_LIMITS }: LeaderInfo): AdmissionLimits {
    return { ...limits, roomsUntil: this.knownAsOf + FORECAST_VALID_MS };
  }

  private applyRows({
    rows,
    inboxUpTo,
  }: Extract<SummaryRecord, { kind: 'rows' | 'snapshot' }>): void {
    this.summary.apply(rows, this.ctx.clock());
    this.summary.inboxUpTo = inboxUpTo;
    for (const [job, { offset }] of this.pendingSubmissions) {
      if (offset < inboxUpTo) {
        this.pendingSubmissions.delete(job);
      }
    }
  }

  /** Reads a stream from `from` to its end. */
  private async readStream(
    stream: JobStream,
    from: number,
    applyRecord: (record: Uint8Array, offset: number) => void,
  ): Promise<StreamRead> {
    const { ctx, jobLog, readSize } = this;
    let next = from;
    for (;;) {
      const maxBytes = readSize.bytes;
      const sentAt = ctx.clock();
      const found = await jobLog.read(stream, next, { waitMs: 0, maxBytes });
      if (found.kind === 'unavailable') {
        readSize.noteFailure();
        return found;
      }
      this.contactAt = ctx.clock();
      if (found.kind === 'trimmed') {
        return found;
      }
      const { records, endOffset } = found;
      const bytes = records.reduce((sum, { length }) => sum + length, 0);
      readSize.noteAnswer(ctx.clock() - sentAt, bytes);
      for (const record of records) {
        applyRecord(record, next);
        next += 1;
      }
      if (next >= endOffset) {
        return { kind: 'all', nextOffset: next };
      }
    }
  }

  /**
   * Discards the summary after the log has dropped unread records, so that the next read starts
   * from a snapshot.
   */
  private reset(): void {
    this.summary = new Summary();
    this.next = undefined;
    this.knownAsOf = -Infinity;
  }
}
