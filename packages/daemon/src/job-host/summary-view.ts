/** What a host that does not read the journal tells callers. */
import type { Instant } from '@paddlewind/domain';
import type { InboxRecord } from '@paddlewind/domain/jobs';

import {
  findByReading,
  GIVE_UP_MS,
  LENGTH_AGE_MS,
  LENGTH_REREAD_MS,
  tellStatus,
  within,
  type CallerView,
  type FoundJob,
  type StatusResult,
} from './caller-view.js';
import type { HostContext } from './context.js';
import type { SummaryFollower } from './summary-follower.js';

/** The view of hosts that read the summary. */
export class SummaryView implements CallerView {
  /** Creates the view on what `follower` has read. */
  constructor(
    private readonly ctx: HostContext,
    private readonly follower: SummaryFollower,
  ) {}

  /** Monotonic time at which the log last answered. */
  get contactAt(): Instant {
    return this.follower.contactAt;
  }

  /** Whether the summary has been read once. */
  get isComplete(): boolean {
    return this.follower.isComplete;
  }

  /** Number of jobs that are not over. */
  get openJobs(): number {
    return this.follower.summary.open;
  }

  /** Monotonic time as of which all submissions are known. */
  get inboxKnownAsOf(): Instant {
    return this.follower.inboxKnownAsOf;
  }

  /** Whether a job is known without reading on. */
  has(job: string): boolean {
    return this.follower.has(job);
  }

  /** Looks for a job in the summary, and then in what the inbox holds beyond it. */
  find(job: string): Promise<FoundJob> {
    return findByReading(
      () => this.has(job),
      [this.follower.refresh, this.follower.refreshInbox].map(
        read => () => this.isRead(read),
      ),
    );
  }

  /** Tells a job's state as of a moment after the call. */
  status(job: string): Promise<StatusResult> {
    const { ctx, follower } = this;
    return tellStatus({
      ctx,
      find: () => this.find(job),
      isSettled: () => this.isFinal(job),
      isUpToDate: () => this.isRead(follower.refresh),
      // A submission that the leader has not summed up waits, as far as anyone may be told.
      newest: () => follower.summary.stateOf(job) ?? { status: 'queued' },
    });
  }

  /** Counts the jobs of a queue that wait, in a copy that is at most `LENGTH_AGE_MS` old. */
  async queueLength(queue: string): Promise<number | undefined> {
    const { follower } = this;
    if (this.age(follower.knownAsOf) > LENGTH_REREAD_MS) {
      await this.isRead(follower.refresh);
    }
    // A leader that is silent sums up nothing of what is accepted meanwhile.
    const isLed = this.age(follower.leaderHeardAt) <= LENGTH_AGE_MS;
    const isCounted = isLed || (await this.isRead(follower.refreshInbox));
    if (!isCounted || this.age(follower.knownAsOf) > LENGTH_AGE_MS) {
      this.ctx.meters.refused('queue_length', 'stale');
      return undefined;
    }
    return follower.waitingIn(queue);
  }

  /** Takes in a record that this host has appended to the inbox. */
  noteOwn(record: InboxRecord, offset: number): void {
    this.follower.noteSubmitted(record, offset);
  }

  /** Reads the submissions that are not summed up yet. */
  readInbox(): Promise<boolean> {
    return this.follower.refreshInbox();
  }

  private async isRead(read: () => Promise<boolean>): Promise<boolean> {
    return (await within(this.ctx, read(), GIVE_UP_MS)) === true;
  }

  private age(since: Instant): number {
    return this.ctx.clock() - since;
  }

  private isFinal(job: string): boolean {
    const status = this.follower.summary.statusOf(job);
    return status === 'completed' || status === 'failed';
  }
}
