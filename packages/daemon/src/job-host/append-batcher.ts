/** Combines the records that arrive during an append into the next one. */
import type { Millis } from '@paddlewind/domain';
import type { AppendResult, JobLog } from '@paddlewind/ports/jobs';

import { SLOW_APPEND_FACTOR } from './append-hedged.js';
import { appendHedgedOnce, HEDGE_DELAY_MS } from './append-hedged-once.js';
import { withTimeout } from './caller-view.js';
import type { HostContext } from './context.js';

/** Records of one request, and the callback that gets their result. */
interface PendingAppend {
  readonly records: readonly Uint8Array[];
  readonly settle: (result: AppendResult) => void;
}

/** At 2 KB per record an append of this many stays far below the log's limit. */
const MAX_BATCH_RECORDS = 400;

/** Time without an answer after which the next batch is sent, since the answer may be lost. */
const BATCH_TIMEOUT_MS: Millis = 250;

/**
 * Limits the inbox to a few appends a second. The log carries out the appends of a partition one
 * after the other: at 200 ms each, as when the log is slow, only five callers a second could be
 * served one by one, but any number in batches.
 */
export class AppendBatcher {
  private pending: PendingAppend[] = [];
  private isSending = false;
  /** Duration of the last append. */
  private lastAppendMs: Millis = 0;

  /** Creates a batcher that appends to the inbox of `jobLog`. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
  ) {}

  /** Appends records with the next batch; all requests of a batch share its result. */
  append(records: readonly Uint8Array[]): Promise<AppendResult> {
    return new Promise(settle => {
      this.pending.push({ records, settle });
      if (!this.isSending) {
        void this.appendAll();
      }
    });
  }

  private async appendAll(): Promise<void> {
    const { ctx } = this;
    this.isSending = true;
    for (
      let batch = this.nextBatch();
      batch.length > 0;
      batch = this.nextBatch()
    ) {
      const records = batch.flatMap(pending => pending.records);
      const current = batch;
      const appending = this.appendOnce(records).then(result => {
        settleAll(current, result);
      });
      await withTimeout(ctx, appending, BATCH_TIMEOUT_MS);
    }
    this.isSending = false;
  }

  private async appendOnce(
    records: readonly Uint8Array[],
  ): Promise<AppendResult> {
    const { ctx, jobLog } = this;
    const sentAt = ctx.clock();
    // On a slow log, sending each append twice would need twice the time that the log has.
    const hedgeDelayMs = Math.max(
      HEDGE_DELAY_MS,
      SLOW_APPEND_FACTOR * this.lastAppendMs,
    );
    const result = await appendHedgedOnce(ctx, jobLog, records, {
      hedgeDelayMs,
    });
    if (result.kind === 'appended') {
      this.lastAppendMs = ctx.clock() - sentAt;
    }
    return result;
  }

  private nextBatch(): PendingAppend[] {
    let count = 0;
    const end = this.pending.findIndex(({ records }) => {
      count += records.length;
      return count > MAX_BATCH_RECORDS;
    });
    return this.pending.splice(0, end < 0 ? Infinity : Math.max(1, end));
  }
}

/** Passes the result on; each request gets its own range of offsets. */
function settleAll(
  batch: readonly PendingAppend[],
  result: AppendResult,
): void {
  if (result.kind !== 'appended') {
    batch.forEach(({ settle }) => {
      settle(result);
    });
    return;
  }
  let { offset } = result;
  for (const { records, settle } of batch) {
    const nextOffset = offset + records.length;
    settle({ kind: 'appended', offset, nextOffset });
    offset = nextOffset;
  }
}
