/** Tells hosts that don't read the journal what the leader has recorded of each job. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  encodeSummary,
  hasMoreHostsThanStandbys,
  summaryRowOf,
  Summary,
  type JobsState,
  type SummaryRecord,
  type SummaryRow,
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

/** Rows of one record of a snapshot: some 100 KB. */
const SNAPSHOT_ROWS = 3_000;

/** What a summary is written from. */
export interface SummaryWriterOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly state: JobsState;
  readonly claim: WonClaim;
  /** Where this host takes records for the inbox. */
  readonly peerAddress: string;
  /** Position of the inbox up to which `state` has taken it in. */
  readonly inboxUpTo: () => number;
  /** How long the log keeps records. */
  readonly retentionMs: Millis;
  /** How long the state of a job that is over can be asked for. */
  readonly statusMs: Millis;
}

/** Rows of all jobs that changed up to a moment. */
export interface SummaryCut {
  readonly rows: readonly SummaryRow[];
  readonly inboxUpTo: number;
}

type AppendTo = 'summary' | 'snapshot';

/** Writes the summary once there are hosts that read it. */
export class SummaryWriter {
  private readonly alarm: WakeSignal;
  private readonly told = new Summary();
  private readonly stamps: Record<AppendTo, WriterStamp>;
  private rows: SummaryRow[] = [];
  private inboxUpTo = 0;
  private toldUpTo = 0;
  private ledAt: Instant = -Infinity;
  private snapshotAt: Instant = -Infinity;
  /** Whether the rows with which this leader began are written. */
  private isWhole = false;
  private closed = false;

  /** Creates a writer for the leader that won a claim. */
  constructor(private readonly options: SummaryWriterOptions) {
    const { ctx, claim } = options;
    this.alarm = new WakeSignal(ctx.schedule);
    this.stamps = { summary: claim.nextStamp, snapshot: claim.nextStamp };
  }

  /**
   * Takes out what has changed since the last cut. Its decisions are not recorded yet: `tell` it once
   * they are, and never when they aren't.
   */
  cut(): SummaryCut | undefined {
    const { state, inboxUpTo } = this.options;
    if (state.changed === undefined) {
      if (!hasMoreHostsThanStandbys(state)) {
        return undefined;
      }
      // Begins with all jobs: what earlier leaders recorded last they may not have told.
      state.changed = new Set(state.jobs.values());
    }
    const rows = [...state.changed].map(summaryRowOf);
    state.changed.clear();
    return { rows, inboxUpTo: inboxUpTo() };
  }

  /** Tells a cut whose decisions are recorded. */
  publish(cut: SummaryCut | undefined): void {
    if (cut === undefined) {
      return;
    }
    this.rows.push(...cut.rows);
    this.inboxUpTo = cut.inboxUpTo;
    this.alarm.notify();
  }

  /** Writes what is told until the writer is closed. */
  async run(): Promise<void> {
    const { ctx, state } = this.options;
    while (!this.closed) {
      await this.alarm.wait(CLAIM_INTERVAL_MS);
      if (state.changed !== undefined) {
        await this.write();
        await this.writeSnapshot();
        await pause(ctx, SUMMARY_WRITE_INTERVAL_MS);
      }
    }
  }

  /** Writes nothing more. */
  close(): void {
    this.closed = true;
    this.alarm.notify();
  }

  private async write(): Promise<void> {
    const { ctx } = this.options;
    const { rows, inboxUpTo } = this;
    this.rows = [];
    const records: SummaryRecord[] = [];
    if (rows.length > 0) {
      records.push({ kind: 'rows', inboxUpTo, rows });
    }
    if (ctx.clock() - this.ledAt >= CLAIM_INTERVAL_MS) {
      this.ledAt = ctx.clock();
      records.push(this.leads());
    }
    if (records.length === 0) {
      return;
    }
    const nextOffset = await this.append('summary', records);
    if (nextOffset !== undefined) {
      this.toldUpTo = nextOffset;
      this.told.apply(rows, ctx.clock());
      this.told.inboxUpTo = inboxUpTo;
      this.isWhole ||= rows.length > 0;
    }
  }

  private leads(): SummaryRecord {
    const { ctx, claim, state, peerAddress: address } = this.options;
    const standbys = state.standbys ?? [];
    const { epoch } = claim;
    return { kind: 'leads', epoch, host: ctx.host, address, standbys };
  }

  private async writeSnapshot(): Promise<void> {
    const { ctx, retentionMs, statusMs } = this.options;
    const now = ctx.clock();
    const dueMs = Math.min(
      SNAPSHOT_INTERVAL_MS,
      retentionMs * RESTATE_RETENTION_FRACTION,
    );
    if (!this.isWhole || now - this.snapshotAt < dueMs) {
      return;
    }
    this.snapshotAt = now;
    this.told.forgetFinishedJobs(now - statusMs);
    const rows = this.told.rows();
    const parts = Math.max(1, Math.ceil(rows.length / SNAPSHOT_ROWS));
    const records: SummaryRecord[] = Array.from(
      { length: parts },
      (_, part) => ({
        kind: 'snapshot',
        part,
        parts,
        summaryUpTo: this.toldUpTo,
        inboxUpTo: this.told.inboxUpTo,
        rows: rows.slice(part * SNAPSHOT_ROWS, (part + 1) * SNAPSHOT_ROWS),
      }),
    );
    // Who leads is told with it: a host that starts need not wait for the next time.
    await this.append('snapshot', [this.leads(), ...records]);
  }

  /** Repeats an append until its outcome is known; undefined once another host leads. */
  private async append(
    stream: AppendTo,
    records: readonly SummaryRecord[],
  ): Promise<number | undefined> {
    const { ctx, jobLog } = this.options;
    const encoded = records.map(encodeSummary);
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
