/** What a host that does not read the journal knows of jobs and of who leads. */
import type { Instant } from '@paddlewind/domain';
import {
  decodeInbox,
  decodeSummary,
  Summary,
  type InboxRecord,
  type SummaryRecord,
} from '@paddlewind/domain/jobs';
import type { JobLog, JobStream } from '@paddlewind/ports/jobs';

import { coalesce } from './coalesce.js';
import type { HostContext } from './context.js';
import { AdaptiveReadSize } from './adaptive-read-size.js';

/** Bytes asked for where only the position of the first record that is kept matters. */
const PROBE_BYTES = 1_024;
/** Records read back from the end for the newest whole snapshot, and again as many times as many. */
const SNAPSHOTS_BACK = 4;

/** What a read of one stream to its end brought. */
type Brought =
  | { readonly kind: 'all'; readonly nextOffset: number }
  | { readonly kind: 'trimmed'; readonly firstOffset: number }
  | { readonly kind: 'unavailable' };

/** A submission that the leader may not have summed up yet. */
interface Submitted {
  readonly queue: string;
  readonly offset: number;
}

/** Who leads, as the summary tells. */
export interface Leads {
  readonly epoch: number;
  readonly host: string;
  readonly address: string;
  readonly standbys: readonly string[];
}

/** Follows the summary, and the end of the inbox where that is asked for. */
export class SummaryFollower {
  summary = new Summary();
  /** The newest leader that the summary tells of. */
  leads: Leads | undefined;
  /** Monotonic time at which a leader's records last arrived. */
  leaderHeardAt: Instant = -Infinity;
  /** Monotonic time at which the log last answered. */
  contactAt: Instant = -Infinity;
  /** Monotonic time as of which the summary is known; `-Infinity` before the first read to its end. */
  knownAsOf: Instant = -Infinity;
  /** Monotonic time as of which all submissions are known. */
  inboxKnownAsOf: Instant = -Infinity;
  /** Reads the summary to its end; false when the log did not answer, or there is no whole snapshot. */
  readonly refresh = coalesce(() => this.readSummary());
  /** Reads the submissions that are not summed up yet; false when that can't be done. */
  readonly refreshInbox = coalesce(() => this.readInbox());

  private readonly portion = new AdaptiveReadSize();
  /** Position from which the summary is read on; undefined until a snapshot has settled it. */
  private next: number | undefined;
  private nextInbox = 0;
  private readonly submitted = new Map<string, Submitted>();

  /** Creates a follower that has read nothing. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
  ) {}

  /** Whether there is a summary, and all of it has been read once. */
  get isComplete(): boolean {
    return this.leads !== undefined && this.knownAsOf > -Infinity;
  }

  /** Whether a job is known. */
  has(job: string): boolean {
    return this.summary.statusOf(job) !== undefined || this.submitted.has(job);
  }

  /** Number of jobs of a queue that wait, submissions that are not summed up included. */
  waitingIn(queue: string): number {
    let count = this.summary.waitingIn(queue);
    for (const [job, found] of this.submitted) {
      const isNew = this.summary.statusOf(job) === undefined;
      count += Number(isNew && found.queue === queue);
    }
    return count;
  }

  /** Notes a submission at `offset` of the inbox. */
  noteSubmitted(record: InboxRecord, offset: number): void {
    this.contactAt = this.ctx.clock();
    if (record.kind === 'submit' && offset >= this.summary.inboxUpTo) {
      const { queue } = record.job.terms;
      this.submitted.set(record.job.id, { queue, offset });
    }
  }

  private async readSummary(): Promise<boolean> {
    const sentAt = this.ctx.clock();
    this.next ??= await this.begin();
    if (this.next === undefined) {
      return false;
    }
    const found = await this.readOn('summary', this.next, (record, offset) => {
      this.next = offset + 1;
      this.take(decodeSummary(record));
    });
    if (found.kind === 'trimmed') {
      this.reset();
    }
    if (found.kind !== 'all') {
      return false;
    }
    this.knownAsOf = sentAt;
    return true;
  }

  /** Reads the newest whole snapshot; undefined when there is none though there should be. */
  private async begin(): Promise<number | undefined> {
    const kept = await this.keptSnapshots();
    if (kept === undefined) {
      return undefined;
    }
    const { first, end } = kept;
    if (end === 0) {
      // Without any snapshot so far the summary begins with all jobs.
      return 0;
    }
    for (let back = SNAPSHOTS_BACK; ; back *= SNAPSHOTS_BACK) {
      const from = Math.max(first, end - back);
      const next = await this.readSnapshots(from);
      if (next !== undefined || from === first) {
        return next;
      }
    }
  }

  /** Returns the position of the first record of snapshots that is kept, and their end. */
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

  /** Takes in the snapshots from an offset on; returns where the last whole one ends in the summary. */
  private async readSnapshots(from: number): Promise<number | undefined> {
    let next: number | undefined;
    let parts = 0;
    const found = await this.readOn('snapshot', from, bytes => {
      const record = decodeSummary(bytes);
      this.take(record);
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
    const found = await this.readOn('inbox', from, (bytes, offset) => {
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

  private take(record: SummaryRecord | undefined): void {
    const now = this.ctx.clock();
    switch (record?.kind) {
      case 'leads':
        if (record.epoch >= (this.leads?.epoch ?? 0)) {
          this.leads = record;
          this.leaderHeardAt = now;
        }
        return;
      case 'rows':
        this.leaderHeardAt = now;
        this.takeRows(record);
        return;
      case 'snapshot':
        this.takeRows(record);
        return;
      case undefined:
        return;
    }
  }

  private takeRows({
    rows,
    inboxUpTo,
  }: Extract<SummaryRecord, { kind: 'rows' | 'snapshot' }>): void {
    this.summary.apply(rows, this.ctx.clock());
    this.summary.inboxUpTo = inboxUpTo;
    for (const [job, { offset }] of this.submitted) {
      if (offset < inboxUpTo) {
        this.submitted.delete(job);
      }
    }
  }

  /** Reads a stream from `from` to its end. */
  private async readOn(
    stream: JobStream,
    from: number,
    take: (record: Uint8Array, offset: number) => void,
  ): Promise<Brought> {
    const { ctx, jobLog, portion } = this;
    let next = from;
    for (;;) {
      const maxBytes = portion.bytes;
      const sentAt = ctx.clock();
      const found = await jobLog.read(stream, next, { waitMs: 0, maxBytes });
      if (found.kind === 'unavailable') {
        portion.noteFailure();
        return found;
      }
      this.contactAt = ctx.clock();
      if (found.kind === 'trimmed') {
        return found;
      }
      const { records, endOffset } = found;
      const bytes = records.reduce((sum, { length }) => sum + length, 0);
      portion.noteAnswer(ctx.clock() - sentAt, bytes);
      for (const record of records) {
        take(record, next);
        next += 1;
      }
      if (next >= endOffset) {
        return { kind: 'all', nextOffset: next };
      }
    }
  }

  /** Records that this host lacks are gone: begins anew with a snapshot. */
  private reset(): void {
    this.summary = new Summary();
    this.next = undefined;
    this.knownAsOf = -Infinity;
  }
}
