/** A host's copy of the state of jobs, folded from inbox and journal. */
import type { Instant } from '@paddlewind/domain';
import {
  applyInbox,
  applyJournal,
  decodeInbox,
  decodeJournal,
  emptyJobsState,
  type InboxRecord,
  type JobsState,
} from '@paddlewind/domain/jobs';
import type { JobLog, JobStream, ReadResult } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';

/** The state of jobs as far as this host has read. */
export class Replica {
  state: JobsState = emptyJobsState();
  /** Monotonic time at which records of the journal last arrived. */
  journalHeardAt: Instant;
  /** Monotonic time at which the log last answered. */
  contactAt: Instant = -Infinity;

  private readonly next: Record<JobStream, number> = { inbox: 0, journal: 0 };
  private resets = 0;

  /** Creates a replica that has read nothing. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
  ) {
    this.journalHeardAt = ctx.clock();
  }

  /** Offset up to which a stream was read. */
  nextOffset(stream: JobStream): number {
    return this.next[stream];
  }

  /** Reads what is new, waiting up to `waitMs` for it; false when the log did not answer. */
  async refresh(stream: JobStream, waitMs = 0): Promise<boolean> {
    const { resets } = this;
    let wait = waitMs;
    for (;;) {
      const found = await this.jobLog.read(stream, this.next[stream], wait);
      if (this.resets !== resets || found.kind === 'unavailable') {
        return false;
      }
      this.contactAt = this.ctx.clock();
      if (await this.take(stream, found)) {
        return true;
      }
      wait = 0;
    }
  }

  /** Takes in records of the inbox that this host has appended itself. */
  applyOwn(offset: number, records: readonly InboxRecord[]): void {
    this.contactAt = this.ctx.clock();
    if (offset !== this.next.inbox) {
      return;
    }
    this.next.inbox += records.length;
    for (const record of records) {
      applyInbox(this.state, record);
    }
  }

  /** Notes that this host, which leads, has written the journal up to `nextOffset`. */
  wroteJournal(nextOffset: number): void {
    this.next.journal = nextOffset;
    this.journalHeardAt = this.ctx.clock();
    this.contactAt = this.journalHeardAt;
  }

  /** Forgets everything, to be read again. */
  reset(): void {
    this.resets += 1;
    this.state = emptyJobsState();
    this.next.inbox = 0;
    this.next.journal = 0;
    this.journalHeardAt = this.ctx.clock();
  }

  /** Returns whether the end of the stream is reached. */
  private async take(
    stream: JobStream,
    found: Exclude<ReadResult, { kind: 'unavailable' }>,
  ): Promise<boolean> {
    if (found.kind === 'trimmed') {
      this.ctx.log.error(
        { stream, next: this.next[stream], firstOffset: found.firstOffset },
        'replica: records that were not read are gone',
      );
      this.next[stream] = found.firstOffset;
      return false;
    }
    if (stream === 'inbox') {
      this.takeInbox(found.offset, found.records);
    } else if (found.records.length > 0) {
      // Jobs that the journal names are in the inbox before it.
      await this.refresh('inbox');
      this.takeJournal(found.offset, found.records);
    }
    return this.next[stream] >= found.endOffset;
  }

  private takeInbox(offset: number, records: readonly Uint8Array[]): void {
    for (const bytes of records.slice(Math.max(0, this.next.inbox - offset))) {
      this.next.inbox += 1;
      applyInbox(this.state, decodeInbox(bytes));
    }
  }

  private takeJournal(offset: number, records: readonly Uint8Array[]): void {
    const known = Math.max(0, this.next.journal - offset);
    for (const bytes of records.slice(known)) {
      this.next.journal += 1;
      const record = decodeJournal(bytes);
      if (!applyJournal(this.state, record)) {
        this.ctx.log.error(
          { record },
          'replica: the journal names an unknown job',
        );
      }
    }
    this.journalHeardAt = this.ctx.clock();
  }
}
