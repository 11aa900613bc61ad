/** What a host that reads the journal tells callers. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  statusOf,
  reportedStateOf,
  type InboxRecord,
} from '@paddlewind/domain/jobs';

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
import type { Leader } from './leader.js';
import type { FoldedStream, Replica } from './replica.js';

/** The view of the leader and of hosts that stand by. */
export class ReplicaView implements CallerView {
  /** Creates the view; `leader` is this host's, while it leads. */
  constructor(
    private readonly ctx: HostContext,
    private readonly replica: Replica,
    private readonly leader: () => Leader | undefined,
  ) {}

  /** Monotonic time at which the log last answered. */
  get contactAt(): Instant {
    return this.replica.contactAt;
  }

  /** Whether both streams have been read once. */
  get isComplete(): boolean {
    return this.replica.isComplete;
  }

  /** Number of jobs that are not over. */
  get openJobs(): number {
    return this.replica.state.open.size;
  }

  /** Monotonic time as of which the inbox is known. */
  get inboxKnownAsOf(): Instant {
    return this.replica.knownAsOf('inbox');
  }

  /** Whether a job is known without reading on. */
  has(job: string): boolean {
    return this.replica.state.jobs.has(job);
  }

  /** Looks for a job in the inbox, and then in the journal, which alone tells of old submissions. */
  find(job: string): Promise<FoundJob> {
    return findByReading(
      () => this.has(job),
      [() => this.isUpToDate('inbox'), () => this.isUpToDate('journal')],
    );
  }

  /** Tells a job's state as of a moment after the call. */
  status(job: string): Promise<StatusResult> {
    const { ctx, replica } = this;
    return tellStatus({
      ctx,
      find: () => this.find(job),
      // What a leader knows beyond the journal may never be recorded, also that a job is over.
      isSettled: () => this.leader() === undefined && this.isFinal(job),
      isUpToDate: () => this.isUpToDate('journal'),
      newest: () => {
        const known = replica.state.jobs.get(job);
        return known === undefined ? undefined : reportedStateOf(known);
      },
    });
  }

  /** Counts the jobs of a queue that wait, in a copy that is at most `LENGTH_AGE_MS` old. */
  async queueLength(queue: string): Promise<number | undefined> {
    if (!(await this.isRecent())) {
      this.ctx.meters.refused('queue_length', 'stale');
      return undefined;
    }
    let count = 0;
    for (const job of this.replica.state.open) {
      if (!job.hasStarted && job.spec.terms.queue === queue) {
        count += 1;
      }
    }
    return count;
  }

  /** Takes in a record that this host has appended to the inbox. */
  noteOwn(record: InboxRecord, offset: number): void {
    this.replica.applyOwn(offset, [record]);
  }

  /** Reads the inbox to its end. */
  readInbox(): Promise<boolean> {
    return this.replica.refresh('inbox');
  }

  /** Whether this host's copy is recent enough to count in, if need be after reading on. */
  private async isRecent(): Promise<boolean> {
    const { ctx, replica } = this;
    const age = (): Millis =>
      ctx.clock() -
      Math.min(replica.knownAsOf('inbox'), replica.knownAsOf('journal'));
    if (this.leader() === undefined && age() <= LENGTH_REREAD_MS) {
      return true;
    }
    const leads = this.leader() !== undefined;
    // A read that fails or does not end in time leaves the copy as old as it was.
    const read = await Promise.all([
      this.isUpToDate('inbox'),
      this.isUpToDate('journal'),
    ]);
    return leads ? read.every(Boolean) : age() <= LENGTH_AGE_MS;
  }

  /** Reads a stream to its end; false when that fails or takes too long. The leader knows its journal. */
  private async isUpToDate(stream: FoldedStream): Promise<boolean> {
    const { ctx, replica } = this;
    const leading = this.leader();
    const work =
      leading !== undefined && stream === 'journal'
        ? leading.recorded()
        : replica.refresh(stream);
    return (await within(ctx, work, GIVE_UP_MS)) === true;
  }

  private isFinal(id: string): boolean {
    const job = this.replica.state.jobs.get(id);
    const over = ['completed', 'failed'];
    return job !== undefined && over.includes(statusOf(job));
  }
}
