/** A host's copy of the state of jobs, built from inbox and journal. */
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
  endRebuilding,
  statusOf,
  workerIdOf,
  type LeaseHandover,
  type InboxRecord,
  type JobImage,
  type JobsState,
  type JournalRecord,
} from '@paddlewind/domain/jobs';
import type { JobLog, ReadResult } from '@paddlewind/ports/jobs';

import { coalesce } from './coalesce.js';
import type { HostContext } from './context.js';
import { LeaseEnds } from './lease-ends.js';
import { AdaptiveReadSize } from './adaptive-read-size.js';
import { SeenFailures } from './seen-failures.js';

/** Size of a read that only locates the first record that the log still keeps. */
const PROBE_BYTES = 1_024;

/** The streams that the state of jobs is built from. */
export type FoldedStream = 'inbox' | 'journal';

/** How far a read has brought a stream: to its end, with more to read, or not at all. */
type ReadProgress = 'all' | 'more' | 'none';

/** Longest time between the writing of a leader's heartbeat and its arrival in the log. */
const MAX_HEARTBEAT_DELAY_MS: Millis = 500;

/** When the newest heartbeat of a leader was read, and when it was not yet in the log. */
interface ReceivedHeartbeat {
  readonly readAt: Instant;
  readonly absentAt: Instant;
}

/** The state of jobs as read by this host. */
export class Replica {
  state: JobsState = emptyJobsState();
  /** Monotonic time at which journal records last arrived. */
  journalReceivedAt: Instant;
  /** Monotonic time of the last answer from the log. */
  contactAt: Instant = -Infinity;
  /** Whether the log has dropped records that this copy lacks, so that it has to be rebuilt. */
  hasGap = false;

  private readonly leaseEnds = new LeaseEnds();
  private readonly nextOffsets: Record<FoldedStream, number> = {
    inbox: 0,
    journal: 0,
  };
  private readonly readToEndAt: Record<FoldedStream, Instant> = {
    inbox: -Infinity,
    journal: -Infinity,
  };
  private readonly readSizes: Record<FoldedStream, AdaptiveReadSize> = {
    inbox: new AdaptiveReadSize(),
    journal: new AdaptiveReadSize(),
  };
  private readonly refreshes: Record<FoldedStream, () => Promise<boolean>> = {
    inbox: coalesce(() => this.readToEnd('inbox', 0)),
    journal: coalesce(() => this.readToEnd('journal', 0)),
  };
  private resets = 0;
  /** Whether the offset at which reading starts is known. */
  private readonly hasStartOffset: Record<FoldedStream, boolean> = {
    inbox: false,
    journal: false,
  };
  /** Whether reading started after records that the log has dropped. */
  private trimmed = false;
  /** Whether this host leads, so that the journal holds nothing that it has not decided itself. */
  private isLeading = false;
  private heartbeat: ReceivedHeartbeat | undefined;
  private readonly seenFailures: SeenFailures;

  /** Creates a replica that has read nothing. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
  ) {
    this.journalReceivedAt = ctx.clock();
    this.seenFailures = new SeenFailures(ctx.log);
  }

  /** Returns the offset up to which a stream was read. */
  nextOffset(stream: FoldedStream): number {
    return this.nextOffsets[stream];
  }

  /**
   * Returns the monotonic time up to which all records of a stream are known: when the last read to
   * its end was sent; `-Infinity` before the first.
   */
  knownAsOf(stream: FoldedStream): Instant {
    return this.readToEndAt[stream];
  }

  /** Whether everything that the log keeps has been read once, so that what is unknown does not exist. */
  get isComplete(): boolean {
    return (
      Math.min(this.readToEndAt.inbox, this.readToEndAt.journal) > -Infinity
    );
  }

  /**
   * Reads new records to the end of the stream; false if the log did not answer. Concurrent callers
   * share one read: several reads at once would share the link, and none might arrive in time.
   */
  refresh(stream: FoldedStream): Promise<boolean> {
    return this.refreshes[stream]();
  }

  /** Reads new records, waiting up to `waitMs` for them; false if the log did not answer. */
  async readToEnd(stream: FoldedStream, waitMs: Millis): Promise<boolean> {
    const { resets } = this;
    if (stream === 'inbox' && !(await this.findJournalStart())) {
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
      const progress = await this.applyRead(stream, found, sentAt);
      if (progress !== 'more') {
        return progress === 'all';
      }
      wait = 0;
    }
  }

  /**
   * Finds the first journal record before the inbox is read. If the log dropped journal records
   * after a job was read from the inbox, the job would lack them and its completed tasks would
   * start again.
   */
  private async findJournalStart(): Promise<boolean> {
    const { resets } = this;
    if (this.hasStartOffset.journal) {
      return true;
    }
    const limits = { waitMs: 0, maxBytes: PROBE_BYTES };
    const found = await this.jobLog.read('journal', 0, limits);
    if (this.resets !== resets || found.kind === 'unavailable') {
      return false;
    }
    this.setStartOffset(
      'journal',
      found.kind === 'trimmed' ? found.firstOffset : 0,
    );
    return true;
  }

  /** Sets the offset at which reading of a stream starts, unless it is set already. */
  private setStartOffset(stream: FoldedStream, firstOffset: number): void {
    if (!this.hasStartOffset[stream]) {
      this.hasStartOffset[stream] = true;
      this.nextOffsets[stream] = firstOffset;
      this.trimmed ||= firstOffset > 0;
      if (stream === 'journal' && firstOffset === 0) {
        this.leaseEnds.noteBeginning();
      } else if (stream === 'journal') {
        this.leaseEnds.noteGap();
        this.state.isRebuilding = true;
      }
    }
  }

  private async read(
    stream: FoldedStream,
    waitMs: Millis,
  ): Promise<ReadResult> {
    const { ctx, jobLog } = this;
    const readSize = this.readSizes[stream];
    const from = this.nextOffsets[stream];
    const maxBytes = readSize.bytes;
    const sentAt = ctx.clock();
    const found = await jobLog.read(stream, from, { waitMs, maxBytes });
    const took = ctx.clock() - sentAt;
    if (found.kind === 'unavailable') {
      readSize.noteFailure();
      ctx.log.warn(
        { stream, from, maxBytes, took, reason: found.reason },
        'replica: a read failed',
      );
    } else if (found.kind === 'records' && found.endOffset > from) {
      readSize.noteAnswer(took - waitMs, sizeOf(found.records));
    }
    return found;
  }

  /** Whether this copy includes the first records ever written. */
  get startedAtFirstRecord(): boolean {
    return !this.trimmed;
  }

  /**
   * Returns the monotonic time by which all leases that earlier leaders gave to a worker have
   * ended; infinite for a worker that the current leader has reached.
   */
  earlierLeaseEnd(worker: string): Instant {
    const id = workerIdOf(worker);
    const reachedIn = this.state.reachedInEpoch.get(id);
    // Epoch 0: the claim of that leader was dropped, so it is unknown which leader it was.
    return this.leaseEnds.leaseEndFor(
      id,
      reachedIn === 0 ? undefined : reachedIn,
    );
  }

  /**
   * Returns the ends of leases that this host, which leads or claims in `epoch`, hands over; its
   * own leases hold for `heldMs`. Undefined if it may not know of all leaders.
   */
  leasesToHandOver(epoch: number, heldMs: Millis): LeaseHandover | undefined {
    return this.leaseEnds.leasesToHandOver(epoch, heldMs, this.ctx.clock());
  }

  /** Returns bounds of the time from the writing of the newest heartbeat until `now`. */
  heartbeatAge(now: Instant): SpanBounds {
    if (this.heartbeat === undefined) {
      return UNKNOWN_SPAN;
    }
    const { readAt, absentAt } = this.heartbeat;
    return {
      from: Math.floor(now - readAt),
      to: Math.ceil(now - absentAt) + MAX_HEARTBEAT_DELAY_MS,
    };
  }

  /** Applies inbox records that this host has appended itself. */
  applyOwn(offset: number, records: readonly InboxRecord[]): void {
    this.contactAt = this.ctx.clock();
    // Before the first read of the inbox its start offset is unknown.
    if (!this.hasStartOffset.inbox || offset !== this.nextOffsets.inbox) {
      return;
    }
    this.nextOffsets.inbox += records.length;
    this.state.now = this.contactAt;
    records.forEach((record, at) => {
      applyInbox(this.state, record, offset + at);
    });
  }

  /**
   * Records that this host leads: journal records are ignored until `reset`. A read that is in
   * flight or queued may return what the leader has written since and has applied already. A start
   * that is applied twice is a run that never ends, and its task does not run again.
   */
  startLeading(): void {
    this.isLeading = true;
    this.state.fragments.clear();
  }

  /** Records that this host, the leader, has written the journal up to `nextOffset`. */
  noteJournalWritten(nextOffset: number): void {
    this.nextOffsets.journal = nextOffset;
    this.journalReceivedAt = this.ctx.clock();
    this.contactAt = this.journalReceivedAt;
  }

  /** Discards the copy so that it is read from scratch. */
  reset(): void {
    this.resets += 1;
    this.state = emptyJobsState();
    this.nextOffsets.inbox = 0;
    this.nextOffsets.journal = 0;
    this.readToEndAt.inbox = -Infinity;
    this.readToEndAt.journal = -Infinity;
    this.hasStartOffset.inbox = false;
    this.hasStartOffset.journal = false;
    this.trimmed = false;
    this.isLeading = false;
    this.hasGap = false;
    this.heartbeat = undefined;
    this.journalReceivedAt = this.ctx.clock();
  }

  private async applyRead(
    stream: FoldedStream,
    found: Exclude<ReadResult, { kind: 'unavailable' }>,
    sentAt: Instant,
  ): Promise<ReadProgress> {
    if (stream === 'journal' && this.isLeading) {
      return 'none';
    }
    if (found.kind === 'trimmed' && this.hasStartOffset[stream]) {
      // The changes that the dropped records made to known jobs can't be read anywhere else.
      this.hasGap = true;
      return 'none';
    }
    if (found.kind === 'trimmed') {
      // The leader restates in the journal what is still needed of dropped records.
      const { firstOffset } = found;
      this.ctx.log.warn(
        { stream, firstOffset },
        'replica: older records were dropped',
      );
      this.setStartOffset(stream, firstOffset);
      return 'more';
    }
    this.setStartOffset(stream, 0);
    if (stream === 'inbox') {
      this.applyInboxRecords(found.offset, found.records);
    } else if (!(await this.applyJournalRecords(found.offset, found.records))) {
      return 'none';
    }
    if (this.nextOffsets[stream] < found.endOffset) {
      return 'more';
    }
    this.readToEndAt[stream] = Math.max(this.readToEndAt[stream], sentAt);
    if (this.isComplete) {
      endRebuilding(this.state);
    }
    return 'all';
  }

  private applyInboxRecords(
    offset: number,
    records: readonly Uint8Array[],
  ): void {
    this.state.now = this.ctx.clock();
    for (const bytes of records.slice(
      Math.max(0, this.nextOffsets.inbox - offset),
    )) {
      const at = this.nextOffsets.inbox;
      this.nextOffsets.inbox += 1;
      const record = decodeInbox(bytes);
      if (record === undefined) {
        this.noteUnreadable('inbox', at);
      } else {
        applyInbox(this.state, record, at);
      }
    }
  }

  /** Applies journal records. Applies nothing and returns false if they name jobs that can't be read. */
  private async applyJournalRecords(
    offset: number,
    records: readonly Uint8Array[],
  ): Promise<boolean> {
    const { resets } = this;
    const decoded = records.map(decodeJournal);
    const allJobsKnown = decoded.every(
      record => record === undefined || this.isJobKnown(record),
    );
    if (!allJobsKnown && !(await this.refresh('inbox'))) {
      return false;
    }
    if (this.resets !== resets || this.isLeading) {
      return false;
    }
    this.state.now = this.ctx.clock();
    for (const record of decoded.slice(
      Math.max(0, this.nextOffsets.journal - offset),
    )) {
      this.nextOffsets.journal += 1;
      if (record === undefined) {
        this.noteUnreadable('journal', this.nextOffsets.journal - 1);
        continue;
      }
      if (record.kind === 'restate') {
        this.logIfDifferent(record.image);
      }
      if (!applyJournal(this.state, record) && !this.trimmed) {
        this.ctx.log.error(
          { record },
          'replica: the journal names an unknown job',
        );
      }
      this.seenFailures.noteApplied(this.state, record);
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
      this.heartbeat = { readAt: now, absentAt: this.readToEndAt.journal };
    }
    return true;
  }

  /** Logs that a job is restated in another state than this host has read: some of its records were dropped. */
  private logIfDifferent({
    spec,
    remaining,
    cancelled,
    failed,
  }: JobImage): void {
    const known = this.state.jobs.get(spec.id);
    const isSame =
      known === undefined ||
      (known.remaining === remaining &&
        known.cancelled === cancelled &&
        (known.failure !== undefined) === failed);
    if (!isSame) {
      this.ctx.log.info(
        { job: spec.id, known: statusOf(known), remaining, cancelled, failed },
        'replica: a job is restated in another state',
      );
    }
  }

  /** Skips a record of another version: its content stays unknown, all other records are applied. */
  private noteUnreadable(stream: FoldedStream, offset: number): void {
    this.ctx.meters.unreadableRecord(stream);
    this.ctx.log.error({ stream, offset }, 'replica: a record can not be read');
  }

  private isJobKnown(record: JournalRecord): boolean {
    if (record.kind === 'begun') {
      return this.state.jobs.has(record.job);
    }
    return !('task' in record) || this.state.jobs.has(record.task.job);
  }
}

function sizeOf(records: readonly Uint8Array[]): number {
  return records.reduce((sum, { length }) => sum + length, 0);
}
