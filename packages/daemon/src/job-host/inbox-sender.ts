/** Brings what callers ask for into the inbox, through the leader where that can be. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { AppendResult, JobLog } from '@paddlewind/ports/jobs';

import { appendTwice } from './append-hedged-once.js';
import type { CallerView } from './caller-view.js';
import { pause, type HostContext } from './context.js';
import { LOG_CONTACT_TIMEOUT_MS, INBOX_RETRY_DELAY_MS } from './timing.js';

/** How long appends go straight to the log after the leader did not take one. */
const LEADER_REST_MS: Millis = 2_000;

/** Appends records to the inbox, together with those of others. */
export type Appender = (
  records: readonly Uint8Array[],
) => Promise<AppendResult>;

/** What a sender is given. */
export interface InboxSenderOptions {
  readonly ctx: HostContext;
  readonly jobLog: JobLog;
  readonly view: () => CallerView;
  /** Who appends for all hosts at present; undefined where this host is to append by itself. */
  readonly leader: () => Appender | undefined;
}

/** Appends to the inbox for callers of this host. */
export class InboxSender {
  /** Whether an append to the inbox broke off and the inbox could not be read since. */
  private inDoubt = false;
  /** Until when the leader is not asked. */
  private directUntil: Instant = -Infinity;

  /** Creates a sender that trusts the leader and the log. */
  constructor(private readonly options: InboxSenderOptions) {}

  /** Appends records; whoever reads the inbox takes the same job in once, however often it is there. */
  async append(records: readonly Uint8Array[]): Promise<AppendResult> {
    const { ctx, jobLog, view } = this.options;
    const lost = ctx.clock() - view().contactAt > LOG_CONTACT_TIMEOUT_MS;
    if (lost || this.inDoubt) {
      const reason = 'the log does not answer this host';
      return { kind: 'refused', reason };
    }
    const taken = await this.throughLeader(records);
    if (taken?.kind === 'appended') {
      return taken;
    }
    const own = await appendTwice(ctx, jobLog, records, {
      brokenOff: () => {
        void this.doubt();
      },
    });
    // What the leader may have appended was not refused, whatever became of the second append.
    const mayBeThere = taken?.kind === 'unknown' && own.kind !== 'appended';
    return mayBeThere ? taken : own;
  }

  private async throughLeader(
    records: readonly Uint8Array[],
  ): Promise<AppendResult | undefined> {
    const { ctx, leader } = this.options;
    const append = leader();
    if (append === undefined || ctx.clock() < this.directUntil) {
      return undefined;
    }
    const result = await append(records);
    if (result.kind !== 'appended') {
      this.directUntil = ctx.clock() + LEADER_REST_MS;
      ctx.log.info({ result }, 'inbox: the leader did not take a record');
    }
    return result;
  }

  /**
   * An append broke off, as when the log resets connections: until the inbox can be read, callers are
   * told at once to come back. They were not run, so that they may ask again; the outcome of an append
   * that is tried stays unknown, and on some they don't ask again: 448 of 5,800 on a day of 29 hosts.
   */
  private async doubt(): Promise<void> {
    if (this.inDoubt) {
      return;
    }
    this.inDoubt = true;
    const { ctx, view } = this.options;
    const since = ctx.clock();
    while (view().inboxKnownAsOf <= since) {
      if (!(await view().readInbox())) {
        await pause(ctx, INBOX_RETRY_DELAY_MS);
      }
    }
    this.inDoubt = false;
  }
}
