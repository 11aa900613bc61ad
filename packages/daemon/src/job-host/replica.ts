/** A host's copy of the state of jobs, folded from inbox and journal. */
import {
  UNKNOWN_SPAN,
  type Instant,
  type Millis,
  type SpanBounds,
} from '@paddlewind/domain';
import {
  applyInbox,
  applyJournal,
  decodeInbox,
  decodeJournal,
  emptyJobsState,
  workerIdOf,
  type LeaseHandover,
  type InboxRecord,
  type JobsState,
  type JournalRecord,
} from '@paddlewind/domain/jobs';
import type { JobLog, ReadResult } from '@paddlewind/ports/jobs';

import { coalesce } from './coalesce.js';
import type { HostContext } from './context.js';
import { LeaseEnds } from './lease-ends.js';
import { AdaptiveReadSize } from './adaptive-read-size.js';

/** Bytes asked for where only the position of the first record that is kept matters. */
const JOIN_BYTES = 1_024;

/** The streams from which the state of jobs is folded. */
export type FoldedStream = 'inbox' | 'journal';

/** How much of a stream a read has brought. */
type Taken = 'all' | 'more' | 'none';

/** How long before it is in the log a leader may have written that it leads. */
const HEARTBEAT_DELAY_MS: Millis = 500;

/** When the newest heartbeat of a leader was read, and when it was not in the log yet. */
interface HeardHeartbeat {
  readonly at: Instant;
  readonly after: Instant;
}

/** The state of jobs as far as this host has read. */
export class Replica {
  state: JobsState = emptyJobsState();
  /** Monotonic time at which records of the journal last arrived. */
  journalReceivedAt: Instant;
  /** Monotonic time at which the log last answered. */
  contactAt: Instant = -Infinity;
  /** Whether the log has dropped records that this copy lacks, so that it has to be read anew. */
  hasGap = false;

  private readonly leaseEnds = new LeaseEnds();
  private readonly next: Record<FoldedStream, number> = {
    inbox: 0,
    journal: 0,
  };
  private readonly readAt: Record<FoldedStream, Instant> = {
    inbox: -Infinity,
    journal: -Infinity,
  };
  private readonly portions: Record<FoldedStream, AdaptiveReadSize> = {
    inbox: new AdaptiveReadSize(),
    journal: new AdaptiveReadSize(),
  };
  private readonly refreshes: Record<FoldedStream, () => Promise<boolean>> = {
    inbox: coalesce(() => this.readToEnd('inbox', 0)),
    journal: coalesce(() => this.readToEnd('journal', 0)),
  };
  private resets = 0;
  /** Whether the position at which reading of a stream begins is settled. */
  private readonly joined: Record<FoldedStream, boolean> = {
    inbox: false,
    journal: false,
  };
  /** Whether reading began after records that the log has dropped. */
  private trimmed = false;
  /** Whether this host leads, so that the journal holds nothing more than what it has decided itself. */
  private isWriter = false;
  private heartbeat: HeardHeartbeat | undefined;

  /** Creates a replica that has read nothing. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
  ) {
    this.journalReceivedAt = ctx.clock();
  }

  /** Offset up to which a stream was read. */
  nextOffset(stream: FoldedStream): number {
    return this.next[stream];
  }

  /**
   * Monotonic time as of which all records of a stream are known: that at which the last read to its
   * end was sent; `-Infinity` before the first.
   */
  knownAsOf(stream: FoldedStream): Instant {
    return this.readAt[stream];
  }

  /** Whether all that the log keeps has been read once, so that what is not known is not there. */
  get isComplete(): boolean {
    return Math.min(this.readAt.inbox, this.readAt.journal) > -Infinity;
  }

  /**
   * Reads what is new, to the end of the stream; false when the log did not answer. All who ask at the
   * same time share a read: several at once would share the link, so that none may arrive in time.
   */
  refresh(stream: FoldedStream): Promise<boolean> {
    return this.refreshes[stream]();
  }

  /** Reads what is new, waiting up to `waitMs` for it; false when the log did not answer. */
  async readToEnd(stream: FoldedStream, waitMs: Millis): Promise<boolean> {
    const { resets } = this;
    if (stream === 'inbox' && !(await this.joinJournal())) {
      return false;
    }
    let wait = waitMs;
    for (;;) {
      const sentAt = this.ctx.clock();
      const found = await this.read(stream, wait);
      if (this.resets !== resets || found.kind === 'unavailable') {
        return false;
      }
      this.contactAt = this.ctx.clock();
      const taken = await this.take(stream, found, sentAt);
      if (taken !== 'more') {
        return taken === 'all';
      }
      wait = 0;
    }
  }

  /**
   * Settles where the journal is read from before the inbox is read. A job that is known from the inbox
   * must not lack records of the journal, dropped meanwhile: its done tasks would begin again.
   */
  private async joinJournal(): Promise<boolean> {
    const { resets } = this;
    if (this.joined.journal) {
      return true;
    }
    const limits = { waitMs: 0, maxBytes: JOIN_BYTES };
    const found = await this.jobLog.read('journal', 0, limits);
    if (this.resets !== resets || found.kind === 'unavailable') {
      return false;
    }
    this.join('journal', found.kind === 'trimmed' ? found.firstOffset : 0);
    return true;
  }

  /** Settles where a stream is read from, unless that is settled already. */
  private join(stream: FoldedStream, firstOffset: number): void {
    if (!this.joined[stream]) {
      this.joined[stream] = true;
      this.next[stream] = firstOffset;
      this.trimmed ||= firstOffset > 0;
      if (stream === 'journal' && firstOffset === 0) {
        this.leaseEnds.noteBeginning();
      } else if (stream === 'journal') {
        this.leaseEnds.noteGap();
      }
    }
  }

  private async read(
    stream: FoldedStream,
    waitMs: Millis,
  ): Promise<ReadResult> {
    const { ctx, jobLog } = this;
    const portion = this.portions[stream];
    const from = this.next[stream];
    const maxBytes = portion.bytes;
    const sentAt = ctx.clock();
    const found = await jobLog.read(stream, from, { waitMs, maxBytes });
    const took = ctx.clock() - sentAt;
    if (found.kind === 'unavailable') {
      portion.noteFailure();
      ctx.log.warn(
        { stream, from, maxBytes, took, reason: found.reason },
        'replica: a read failed',
      );
    } else if (found.kind === 'records' && found.endOffset > from) {
      portion.noteAnswer(took - waitMs, sizeOf(found.records));
    }
    return found;
  }

  /** Whether this copy began with the first records that were ever written. */
  get startedAtFirstRecord(): boolean {
    return !this.trimmed;
  }

  /**
   * Monotonic time by which every lease that leaders before the present one gave to a worker has ended;
   * infinite for one that the present leader has reached.
   */
  earlierLeaseEnd(worker: string): Instant {
    const id = workerIdOf(worker);
    const reachedIn = this.state.reachedInEpoch.get(id);
    // Of a leader whose claim is gone it is not known which one it is.
    return this.leaseEnds.endFor(id, reachedIn === 0 ? undefined : reachedIn);
  }

  /**
   * Returns what this host, which leads or claims in `epoch`, hands on of the ends of leases: its own hold
   * for `heldMs`. Undefined while it may not know of all leaders.
   */
  handedLeases(epoch: number, heldMs: Millis): LeaseHandover | undefined {
    return this.leaseEnds.leasesToHandOver(epoch, heldMs, this.ctx.clock());
  }

  /** Returns how long before `now` the newest heartbeat was written. */
  heartbeatAge(now: Instant): SpanBounds {
    if (this.heartbeat === undefined) {
      return UNKNOWN_SPAN;
    }
    const { at, after } = this.heartbeat;
    return {
      from: Math.floor(now - at),
      to: Math.ceil(now - after) + HEARTBEAT_DELAY_MS,
    };
  }

  /** Takes in records of the inbox that this host has appended itself. */
  applyOwn(offset: number, records: readonly InboxRecord[]): void {
    this.contactAt = this.ctx.clock();
    // Before the first read of the inbox it is not settled where this copy begins.
    if (!this.joined.inbox || offset !== this.next.inbox) {
      return;
    }
    this.next.inbox += records.length;
    this.state.now = this.contactAt;
    for (const record of records) {
      applyInbox(this.state, record);
    }
  }

  /**
   * Notes that this host leads: until `reset` nothing more of the journal is taken in. A read that was under
   * way, or waited for its turn, may bring what the leader has written since, and applied when it decided it: a
   * start that is applied twice is a run that never ends, and its task does not run again.
   */
  startLeading(): void {
    this.isWriter = true;
  }

  /** Notes that this host, which leads, has written the journal up to `nextOffset`. */
  noteJournalWritten(nextOffset: number): void {
    this.next.journal = nextOffset;
    this.journalReceivedAt = this.ctx.clock();
    this.contactAt = this.journalReceivedAt;
  }

  /** Forgets everything, to be read again. */
  reset(): void {
    this.resets += 1;
    this.state = emptyJobsState();
    this.next.inbox = 0;
    this.next.journal = 0;
    this.readAt.inbox = -Infinity;
    this.readAt.journal = -Infinity;
    this.joined.inbox = false;
    this.joined.journal = false;
    this.trimmed = false;
    this.isWriter = false;
    this.hasGap = false;
    this.heartbeat = undefined;
    this.journalReceivedAt = this.ctx.clock();
  }

  private async take(
    stream: FoldedStream,
    found: Exclude<ReadResult, { kind: 'unavailable' }>,
    sentAt: Instant,
  ): Promise<Taken> {
    if (stream === 'journal' && this.isWriter) {
      return 'none';
    }
    if (found.kind === 'trimmed' && this.joined[stream]) {
      // What they changed of the jobs known here is told nowhere else.
      this.hasGap = true;
      return 'none';
    }
    if (found.kind === 'trimmed') {
      // What matters of them is restated in the journal.
      const { firstOffset } = found;
      this.ctx.log.warn(
        { stream, firstOffset },
        'replica: older records are gone',
      );
      this.join(stream, firstOffset);
      return 'more';
    }
    this.join(stream, 0);
    if (stream === 'inbox') {
      this.takeInbox(found.offset, found.records);
    } else if (!(await this.takeJournal(found.offset, found.records))) {
      return 'none';
    }
    if (this.next[stream] < found.endOffset) {
      return 'more';
    }
    this.readAt[stream] = Math.max(this.readAt[stream], sentAt);
    return 'all';
  }

  private takeInbox(offset: number, records: readonly Uint8Array[]): void {
    this.state.now = this.ctx.clock();
    for (const bytes of records.slice(Math.max(0, this.next.inbox - offset))) {
      this.next.inbox += 1;
      const record = decodeInbox(bytes);
      if (record === undefined) {
        this.noteUnreadable('inbox', this.next.inbox - 1);
      } else {
        applyInbox(this.state, record);
      }
    }
  }

  /** Takes in nothing, and returns false, while jobs that the journal names can't be read. */
  private async takeJournal(
    offset: number,
    records: readonly Uint8Array[],
  ): Promise<boolean> {
    const { resets } = this;
    const decoded = records.map(decodeJournal);
    const known = decoded.every(
      record => record === undefined || this.isKnown(record),
    );
    if (!known && !(await this.refresh('inbox'))) {
      return false;
    }
    if (this.resets !== resets || this.isWriter) {
      return false;
    }
    this.state.now = this.ctx.clock();
    for (const record of decoded.slice(
      Math.max(0, this.next.journal - offset),
    )) {
      this.next.journal += 1;
      if (record === undefined) {
        this.noteUnreadable('journal', this.next.journal - 1);
        continue;
      }
      if (!applyJournal(this.state, record) && !this.trimmed) {
        this.ctx.log.error(
          { record },
          'replica: the journal names an unknown job',
        );
      }
      this.leaseEnds.applyRecord(
        record,
        this.state.claim.epoch,
        this.ctx.clock(),
      );
    }
    const now = this.ctx.clock();
    if (decoded.length > 0) {
      this.journalReceivedAt = now;
    }
    if (decoded.some(record => record?.kind === 'heartbeat')) {
      this.heartbeat = { at: now, after: this.readAt.journal };
    }
    return true;
  }

  /** A record of another version is passed over: what it says is not known here, the rest is. */
  private noteUnreadable(stream: FoldedStream, offset: number): void {
    this.ctx.meters.unreadableRecord(stream);
    this.ctx.log.error({ stream, offset }, 'replica: a record can not be read');
  }

  private isKnown(record: JournalRecord): boolean {
    if (record.kind === 'begun') {
      return this.state.jobs.has(record.job);
    }
    return !('task' in record) || this.state.jobs.has(record.task.job);
  }
}

function sizeOf(records: readonly Uint8Array[]): number {
  return records.reduce((sum, { length }) => sum + length, 0);
}
