/** Appends the leader's decisions in order; the log refuses them once another host leads. */
import type { Instant, Millis } from '@paddlewind/domain';
import { encodeRecord, type JournalRecord } from '@paddlewind/domain/jobs';
import type { AppendResult, JobLog, WriterStamp } from '@paddlewind/ports/jobs';

import { appendHedged, SLOW_APPEND_FACTOR } from './append-hedged.js';
import { pause, type HostContext } from './context.js';
import type { WonClaim } from './leadership.js';
import { APPEND_AGAIN_MS, APPEND_RETRY_DELAY_MS } from './timing.js';

/** What became of a batch. */
export type WriteResult =
  | { readonly kind: 'written'; readonly nextOffset: number }
  /** Another host leads, or the writer was closed. */
  | { readonly kind: 'deposed' };

/** Writes one batch at a time. */
export class JournalWriter {
  private stamp: WriterStamp;
  private sentAt: Instant;
  private closed = false;
  /** Time that the newest append took. */
  private answerMs: Millis = 0;

  /** Creates a writer for the leader that won `claim`. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
    claim: WonClaim,
  ) {
    this.stamp = claim.nextStamp;
    this.sentAt = claim.sentAt;
  }

  /** Monotonic time at which the newest confirmed append was sent, for the first time if it was repeated. */
  get confirmedSentAt(): Instant {
    return this.sentAt;
  }

  /** Sends nothing more. */
  close(): void {
    this.closed = true;
  }

  /** Appends `records`, repeating the append until its outcome is known. */
  async write(records: readonly JournalRecord[]): Promise<WriteResult> {
    const encoded = records.map(encodeRecord);
    /** When it was first sent without an answer: it may be in the log since then, and another host lead. */
    let firstSentAt: Instant | undefined;
    while (!this.closed) {
      const sentAt = firstSentAt ?? this.ctx.clock();
      const result = await this.append(encoded);
      switch (result.kind) {
        case 'appended':
          this.stamp = { ...this.stamp, sequence: this.stamp.sequence + 1 };
          this.sentAt = sentAt;
          return { kind: 'written', nextOffset: result.nextOffset };
        case 'fenced':
        case 'out_of_sequence':
          this.ctx.log.info(
            { epoch: this.stamp.epoch, why: result.kind },
            'journal: an append was refused for good',
          );
          return { kind: 'deposed' };
        case 'refused':
          await this.beforeRepeat(result);
          break;
        case 'unknown':
          firstSentAt = sentAt;
          await this.beforeRepeat(result);
          break;
      }
    }
    return { kind: 'deposed' };
  }

  private async append(encoded: readonly Uint8Array[]): Promise<AppendResult> {
    const { ctx, jobLog, stamp } = this;
    const sentAt = ctx.clock();
    const everyMs = Math.max(
      APPEND_AGAIN_MS,
      SLOW_APPEND_FACTOR * this.answerMs,
    );
    const append = (): Promise<AppendResult> =>
      jobLog.append('journal', encoded, stamp);
    const stopped = (): boolean => this.closed;
    const result = await appendHedged(ctx, append, { everyMs, stopped });
    if (result.kind === 'appended') {
      // How long an outage took tells nothing of how fast the log is after it.
      this.answerMs = Math.min(ctx.clock() - sentAt, APPEND_AGAIN_MS);
    }
    return result;
  }

  /** The same stamp is sent again: if the first one was carried out, its answer is repeated. */
  private async beforeRepeat({
    kind,
    reason,
  }: Extract<AppendResult, { kind: 'refused' | 'unknown' }>): Promise<void> {
    this.ctx.log.warn({ why: kind, reason }, 'journal: an append is repeated');
    await pause(this.ctx, APPEND_RETRY_DELAY_MS);
  }
}
