/** Writes the summary: the recorded state of each job, for hosts that don't read the journal. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  encodeSummary,
  hasMoreHostsThanStandbys,
  summaryRowOf,
  Summary,
  type JobsState,
  type SummaryRecord,
  type SummaryRow,
  type AdmissionLimits,
} from '@paddlewind/domain/jobs';
import type { AppendResult, JobLog, WriterStamp } from '@paddlewind/ports/jobs';

import { WakeSignal } from './wake-signal.js';
import { pause, type HostContext } from './context.js';
import type { WonClaim } from './leadership.js';
import {
  APPEND_RETRY_DELAY_MS,
  CLAIM_INTERVAL_MS,
  RESTATE_RETENTION_FRACTION,
  SNAPSHOT_INTERVAL_MS,
  SUMMARY_WRITE_INTERVAL_MS,
} from './timing.js';

/** Rows per snapshot record, which then has about 100 KB. */
const ROWS_PER_SNAPSHOT_RECORD = 3_000;

/** Dependencies and settings of the writer. */
export interface SummaryWriterOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly state: JobsState;
  readonly claim: WonClaim;
  /** Address at which this host accepts records for the inbox. */
  readonly peerAddress: string;
  /** Returns the inbox offset up to which records are applied to `state`. */
  readonly inboxUpTo: () => number;
  /** Returns how late new tasks start. */
  readonly admissionLimits: () => AdmissionLimits;
  /** Retention time of the log. */
  readonly retentionMs: Millis;
  /** Time for which the state of a finished job can be queried. */
  readonly statusMs: Millis;
}

/** Rows of the jobs that changed since the previous call. */
export interface SummaryChanges {
  readonly rows: readonly SummaryRow[];
  readonly inboxUpTo: number;
}

type SummaryStream = 'summary' | 'snapshot';

/** Writes the summary once there are hosts that read it. */
export class SummaryWriter {
  private readonly wakeSignal: WakeSignal;
  private readonly written = new Summary();
  private readonly stamps: Record<SummaryStream, WriterStamp>;
  private rows: SummaryRow[] = [];
  private inboxUpTo = 0;
  private writtenUpTo = 0;
  private leaderRecordAt: Instant = -Infinity;
  private snapshotAt: Instant = -Infinity;
  /** Whether the rows of all jobs at the start of this leader are written. */
  private hasAllRows = false;
  private closed = false;

  /** Creates a writer for the leader that won a claim. */
  constructor(private readonly options: SummaryWriterOptions) {
    const { ctx, claim } = options;
    this.wakeSignal = new WakeSignal(ctx.schedule);
    this.stamps = { summary: claim.nextStamp, snapshot: claim.nextStamp };
  }

  /**
   * Returns what has changed since the last call. These decisions are not recorded yet: publish the
   * changes only once they are.
   */
  takeChanges(): SummaryChanges | undefined {
    const { state, inboxUpTo } = this.options;
    if (state.changedJobs === undefined) {
      if (!hasMoreHostsThanStandbys(state)) {
        return undefined;
      }
      // Start with all jobs, since earlier leaders may not have published their last records.
      state.changedJobs = new Set(state.jobs.values());
    }
    const rows = [...state.changedJobs].map(summaryRowOf);
    state.changedJobs.clear();
    return { rows, inboxUpTo: inboxUpTo() };
  }

  /** Queues changes whose decisions are recorded. */
  publish(changes: SummaryChanges | undefined): void {
    if (changes === undefined) {
      return;
    }
    this.rows.push(...changes.rows);
    this.inboxUpTo = changes.inboxUpTo;
    this.wakeSignal.notify();
  }

  /** Writes queued rows until the writer is closed. */
  async run(): Promise<void> {
    const { ctx, state } = this.options;
    while (!this.closed) {
      await this.wakeSignal.wait(CLAIM_INTERVAL_MS);
      if (state.changedJobs !== undefined) {
        await this.write();
        await this.writeSnapshot();
        await pause(ctx, SUMMARY_WRITE_INTERVAL_MS);
      }
    }
  }

  /** Stops writing. */
  close(): void {
    this.closed = true;
    this.wakeSignal.notify();
  }

  private async write(): Promise<void> {
    const { ctx } = this.options;
    const { rows, inboxUpTo } = this;
    this.rows = [];
    const records: SummaryRecord[] = [];
    if (rows.length > 0) {
      records.push({ kind: 'rows', inboxUpTo, rows });
    }
    if (ctx.clock() - this.leaderRecordAt >= CLAIM_INTERVAL_MS) {
      this.leaderRecordAt = ctx.clock();
      records.push(this.leaderRecord());
    }
    if (records.length === 0) {
      return;
    }
    const nextOffset = await this.append('summary', records);
    if (nextOffset !== undefined) {
      this.writtenUpTo = nextOffset;
      this.written.apply(rows, ctx.clock());
      this.written.inboxUpTo = inboxUpTo;
      this.hasAllRows ||= rows.length > 0;
    }
  }

  private leaderRecord(): SummaryRecord {
    const { ctx, claim, state, peerAddress: address } = this.options;
    const limits = this.options.admissionLimits();
    const standbys = state.standbys ?? [];
    const { epoch } = claim;
    const { host } = ctx;
    return { kind: 'leads', epoch, host, address, standbys, limits };
  }

  private async writeSnapshot(): Promise<void> {
    const { ctx, retentionMs, statusMs } = this.options;
    const now = ctx.clock();
    const intervalMs = Math.min(
      SNAPSHOT_INTERVAL_MS,
      retentionMs * RESTATE_RETENTION_FRACTION,
    );
    if (!this.hasAllRows || now - this.snapshotAt < intervalMs) {
      return;
    }
    this.snapshotAt = now;
    this.written.forgetFinishedJobs(now - statusMs);
    const rows = this.written.rows();
    const parts = Math.max(
      1,
      Math.ceil(rows.length / ROWS_PER_SNAPSHOT_RECORD),
    );
    const records: SummaryRecord[] = Array.from(
      { length: parts },
      (_, part) => ({
        kind: 'snapshot',
        part,
        parts,
        summaryUpTo: this.writtenUpTo,
        inboxUpTo: this.written.inboxUpTo,
        rows: rows.slice(
          part * ROWS_PER_SNAPSHOT_RECORD,
          (part + 1) * ROWS_PER_SNAPSHOT_RECORD,
        ),
      }),
    );
    // With the leader in the snapshot, a host that starts need not wait for the next leader record.
    await this.append('snapshot', [this.leaderRecord(), ...records]);
  }

  /** Repeats an append until its outcome is known; undefined once another host leads. */
  private async append(
    stream: SummaryStream,
    records: readonly SummaryRecord[],
  ): Promise<number | undefined> {
    const { ctx, jobLog } = this.options;
    const encoded = ctx.times.measure('summary', () =>
      records.map(encodeSummary),
    );
    while (!this.closed) {
      const stamp = this.stamps[stream];
      const result: AppendResult = await jobLog.append(stream, encoded, stamp);
      switch (result.kind) {
        case 'appended':
          this.stamps[stream] = { ...stamp, sequence: stamp.sequence + 1 };
          return result.nextOffset;
        case 'fenced':
        case 'out_of_sequence':
          this.close();
          return undefined;
        case 'refused':
        case 'unknown':
          await pause(ctx, APPEND_RETRY_DELAY_MS);
      }
    }
    return undefined;
  }
}
