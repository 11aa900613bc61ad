/**
 * The leader's decisions: applied to the state at once, written to the journal in batches, then carried out.
 */
import type { Instant } from '@paddlewind/domain';
import {
  applyJournal,
  type JobsState,
  type JournalRecord,
} from '@paddlewind/domain/jobs';
import type { JobLog } from '@paddlewind/ports/jobs';

import type { HostContext } from './context.js';
import { JournalWriter } from './journal-writer.js';
import type { WonClaim } from './leadership.js';
import type { Replica } from './replica.js';
import { WRITE_OVERDUE_MS } from './timing.js';

/** Called with true once an append is confirmed, or with false once it can no longer succeed. */
type Effect = (written: boolean) => void;

/** Records of one append, and the callbacks to run after it. */
interface Batch {
  readonly records: JournalRecord[];
  readonly effects: Effect[];
}

/** Collects decisions while an append is in flight, and appends them together. */
export class DecisionLog {
  private readonly writer: JournalWriter;
  private readonly state: JobsState;
  private batch: Batch = emptyBatch();
  private writing: Batch | undefined;
  /** Monotonic time after which the append in flight is overdue; infinite while there is none. */
  private overdueFrom: Instant = Infinity;
  private closed = false;

  /** Creates the log of the leader that won `claim`. */
  constructor(
    private readonly ctx: HostContext,
    jobLog: JobLog,
    private readonly replica: Replica,
    claim: WonClaim,
  ) {
    this.writer = new JournalWriter(ctx, jobLog, claim);
    this.state = replica.state;
    replica.startLeading();
  }

  /** Monotonic time at which the last confirmed append was sent. */
  get confirmedSentAt(): Instant {
    return this.writer.confirmedSentAt;
  }

  /** Whether there is nothing to append. */
  get isEmpty(): boolean {
    return this.batch.records.length === 0;
  }

  /** Whether the append in flight has had no answer for so long that the log counts as unavailable. */
  get isWriteOverdue(): boolean {
    return this.ctx.clock() > this.overdueFrom;
  }

  /** Applies a decision; `effect` is called once it is written, or once it can no longer be. */
  record(entry: JournalRecord, effect?: Effect): void {
    this.state.now = this.ctx.clock();
    this.ctx.times.measure('records', () => applyJournal(this.state, entry));
    this.ctx.meters.decided(entry.kind);
    this.batch.records.push(entry);
    if (effect !== undefined) {
      this.batch.effects.push(effect);
    }
  }

  /** Resolves with true once all decisions so far are written, with false if they never will be. */
  recorded(): Promise<boolean> {
    if (this.closed) {
      return Promise.resolve(false);
    }
    const last = this.isEmpty ? this.writing : this.batch;
    return new Promise(resolve => {
      if (last === undefined) {
        resolve(true);
      } else {
        last.effects.push(resolve);
      }
    });
  }

  /** Appends the pending records; resolves with false if another host leads. */
  async write(): Promise<boolean> {
    const { batch } = this;
    this.batch = emptyBatch();
    this.writing = batch;
    this.overdueFrom = this.ctx.clock() + WRITE_OVERDUE_MS;
    const result = await this.writer.write(batch.records);
    this.overdueFrom = Infinity;
    this.writing = undefined;
    const written = result.kind === 'written';
    // After this host has lost the lead, its replica is rebuilt from the log.
    if (written && !this.closed) {
      this.replica.noteJournalWritten(result.nextOffset);
    }
    this.ctx.times.measure('starts', () => {
      settle(batch, written);
    });
    return written;
  }

  /** Stops appending. */
  close(): void {
    this.closed = true;
    settle(this.batch, false);
    this.writer.close();
  }
}

function emptyBatch(): Batch {
  return { records: [], effects: [] };
}

function settle(batch: Batch, written: boolean): void {
  for (const effect of batch.effects) {
    effect(written);
  }
}
