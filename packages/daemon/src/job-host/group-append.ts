/** Appends together what is asked for while an append is under way. */
import type { Millis } from '@paddlewind/domain';
import type { AppendResult, JobLog } from '@paddlewind/ports/jobs';

import { SLOW_APPEND_FACTOR } from './append-hedged.js';
import { appendTwice, SECOND_TRY_MS } from './append-hedged-once.js';
import { within } from './caller-view.js';
import type { HostContext } from './context.js';

/** Records of one request, and who waits for their outcome. */
interface Waiting {
  readonly records: readonly Uint8Array[];
  readonly settle: (result: AppendResult) => void;
}

/** Most records of one append: with 2 KB each it stays far below the log's limit. */
const MAX_RECORDS = 400;

/** Time after which the next append is sent though the last was not answered: its answer may be lost. */
const LONGEST_TURN_MS: Millis = 250;

/**
 * Some appends a second to the inbox at the most. The log takes the appends of a partition one after the other: at the
 * 200 ms each that they take while it is slow, five callers a second are accepted one by one, and all
 * that come together.
 */
export class GroupAppend {
  private waiting: Waiting[] = [];
  private isBusy = false;
  /** Time that the newest append took. */
  private answerMs: Millis = 0;

  /** Creates a group that appends to the inbox of `jobLog`. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
  ) {}

  /** Appends records with the next append; all of it share its outcome. */
  append(records: readonly Uint8Array[]): Promise<AppendResult> {
    return new Promise(settle => {
      this.waiting.push({ records, settle });
      if (!this.isBusy) {
        void this.appendAll();
      }
    });
  }

  private async appendAll(): Promise<void> {
    const { ctx } = this;
    this.isBusy = true;
    for (let group = this.next(); group.length > 0; group = this.next()) {
      const records = group.flatMap(waiting => waiting.records);
      const told = group;
      const appending = this.appendOnce(records).then(result => {
        settleAll(told, result);
      });
      await within(ctx, appending, LONGEST_TURN_MS);
    }
    this.isBusy = false;
  }

  private async appendOnce(
    records: readonly Uint8Array[],
  ): Promise<AppendResult> {
    const { ctx, jobLog } = this;
    const sentAt = ctx.clock();
    // While the log is slow, a second append of each would take twice the time that it has.
    const secondTryMs = Math.max(
      SECOND_TRY_MS,
      SLOW_APPEND_FACTOR * this.answerMs,
    );
    const result = await appendTwice(ctx, jobLog, records, { secondTryMs });
    if (result.kind === 'appended') {
      this.answerMs = ctx.clock() - sentAt;
    }
    return result;
  }

  private next(): Waiting[] {
    let count = 0;
    const end = this.waiting.findIndex(({ records }) => {
      count += records.length;
      return count > MAX_RECORDS;
    });
    return this.waiting.splice(0, end < 0 ? Infinity : Math.max(1, end));
  }
}

/** Gives each its own part of the offsets. */
function settleAll(group: readonly Waiting[], result: AppendResult): void {
  if (result.kind !== 'appended') {
    group.forEach(({ settle }) => {
      settle(result);
    });
    return;
  }
  let { offset } = result;
  for (const { records, settle } of group) {
    const nextOffset = offset + records.length;
    settle({ kind: 'appended', offset, nextOffset });
    offset = nextOffset;
  }
}
