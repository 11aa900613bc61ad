/** Appends the leader's decisions in order; the log refuses them once another host leads. */
import type { Instant, Millis } from '@paddlewind/domain';
import { encodeRecord, type JournalRecord } from '@paddlewind/domain/jobs';
import type { AppendResult, JobLog, WriterStamp } from '@paddlewind/ports/jobs';

import { appendHedged, SLOW_APPEND_FACTOR } from './append-hedged.js';
import { pause, type HostContext } from './context.js';
import type { WonClaim } from './leadership.js';
import { APPEND_RESEND_AFTER_MS, APPEND_RETRY_DELAY_MS } from './timing.js';

/** Outcome of writing a batch. */
export type WriteResult =
  | { readonly kind: 'written'; readonly nextOffset: number }
  /** Another host leads, or the writer was closed. */
  | { readonly kind: 'deposed' };

/** Writes one batch at a time. */
export class JournalWriter {
  private stamp: WriterStamp;
  private lastConfirmedSentAt: Instant;
  private closed = false;
  /** Duration of the last append. */
  private lastAppendMs: Millis = 0;

  /** Creates a writer for the leader that won `claim`. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
    claim: WonClaim,
  ) {
    this.stamp = claim.nextStamp;
    this.lastConfirmedSentAt = claim.sentAt;
  }

  /**
   * Monotonic time at which the last confirmed append was sent; the first attempt counts if it was repeated.
   */
  get confirmedSentAt(): Instant {
    return this.lastConfirmedSentAt;
  }

  /** Stops sending. */
  close(): void {
    this.closed = true;
  }

  /** Appends `records`, repeating the append until its outcome is known. */
  async write(records: readonly JournalRecord[]): Promise<WriteResult> {
    const encoded = this.ctx.times.measure('records', () =>
      records.map(encodeRecord),
    );
    /**
     * Time of the first attempt that got no answer. It may have been written then, and another host may lead
     * since.
     */
    let firstSentAt: Instant | undefined;
    while (!this.closed) {
      const sentAt = firstSentAt ?? this.ctx.clock();
      const result = await this.append(encoded);
      switch (result.kind) {
        case 'appended':
          this.stamp = { ...this.stamp, sequence: this.stamp.sequence + 1 };
          this.lastConfirmedSentAt = sentAt;
          return { kind: 'written', nextOffset: result.nextOffset };
        case 'fenced':
        case 'out_of_sequence':
          this.ctx.log.info(
            { epoch: this.stamp.epoch, why: result.kind },
            'journal: an append was refused permanently',
          );
          return { kind: 'deposed' };
        case 'refused':
          await this.delayRetry(result);
          break;
        case 'unknown':
          firstSentAt = sentAt;
          await this.delayRetry(result);
          break;
      }
    }
    return { kind: 'deposed' };
  }

  private async append(encoded: readonly Uint8Array[]): Promise<AppendResult> {
    const { ctx, jobLog, stamp } = this;
    const sentAt = ctx.clock();
    const everyMs = Math.max(
      APPEND_RESEND_AFTER_MS,
      SLOW_APPEND_FACTOR * this.lastAppendMs,
    );
    const append = (): Promise<AppendResult> =>
      jobLog.append('journal', encoded, stamp);
    const stopped = (): boolean => this.closed;
    const result = await appendHedged(ctx, append, { everyMs, stopped });
    if (result.kind === 'appended') {
      // The duration of an outage says nothing about the speed of the log after it.
      this.lastAppendMs = Math.min(
        ctx.clock() - sentAt,
        APPEND_RESEND_AFTER_MS,
      );
    }
    return result;
  }

  /**
   * Waits before the next attempt. That uses the same stamp: if the first attempt was written, the log
   * repeats its answer.
   */
  private async delayRetry({
    kind,
    reason,
  }: Extract<AppendResult, { kind: 'refused' | 'unknown' }>): Promise<void> {
    this.ctx.log.warn({ why: kind, reason }, 'journal: an append is repeated');
    await pause(this.ctx, APPEND_RETRY_DELAY_MS);
  }
}
