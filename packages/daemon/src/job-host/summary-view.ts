/** Answers callers on a host that does not read the journal. */
import type { Instant } from '@paddlewind/domain';
import {
  NO_LIMITS,
  type AdmissionLimits,
  type InboxRecord,
} from '@paddlewind/domain/jobs';

import {
  findByReading,
  ANSWER_TIMEOUT_MS,
  MAX_QUEUE_LENGTH_AGE_MS,
  QUEUE_LENGTH_REFRESH_AGE_MS,
  lookUpStatus,
  withTimeout,
  type CallerView,
  type JobLookup,
  type StatusResult,
} from './caller-view.js';
import type { HostContext } from './context.js';
import { FailedAnswers } from './seen-failures.js';
import type { SummaryFollower } from './summary-follower.js';

/** The view of hosts that read the summary. */
export class SummaryView implements CallerView {
  private readonly failedAnswers: FailedAnswers;

  /** Creates a view of what `follower` has read. */
  constructor(
    private readonly ctx: HostContext,
    private readonly follower: SummaryFollower,
  ) {
    const epoch = (): number | undefined => follower.leaderInfo?.epoch;
    this.failedAnswers = new FailedAnswers(ctx.log, 'summary', epoch);
  }

  /** Monotonic time of the last answer from the log. */
  get contactAt(): Instant {
    return this.follower.contactAt;
  }

  /** Whether the summary has been read once. */
  get isComplete(): boolean {
    return this.follower.isComplete;
  }

  /** Number of unfinished jobs. */
  get openJobs(): number {
    return this.follower.summary.openJobs;
  }

  /** Monotonic time up to which all submissions are known. */
  get inboxKnownAsOf(): Instant {
    return this.follower.inboxKnownAsOf;
  }

  /** Limits on the jobs that are accepted, as the leader has last reported them. */
  get admissionLimits(): AdmissionLimits {
    return this.follower.leaderInfo?.limits ?? NO_LIMITS;
  }

  /** Whether a job is known without reading from the log. */
  has(job: string): boolean {
    return this.follower.has(job);
  }

  /** Looks for a job in the summary and then in the newer part of the inbox. */
  find(job: string): Promise<JobLookup> {
    return findByReading(
      () => this.has(job),
      [this.follower.refresh, this.follower.refreshInbox].map(
        read => () => this.refreshInTime(read),
      ),
    );
  }

  /** Returns a job's state as of a moment after the call. */
  status(job: string): Promise<StatusResult> {
    const { ctx, follower } = this;
    return lookUpStatus({
      ctx,
      find: () => this.find(job),
      isFinal: () => this.isFinal(job),
      refresh: () => this.refreshInTime(follower.refresh),
      // A submission that is not yet in the summary is reported as queued.
      currentState: () => follower.summary.stateOf(job) ?? { status: 'queued' },
      noteAnswer: state => {
        this.failedAnswers.noteAnswer(job, state);
      },
    });
  }

  /** Counts the waiting jobs of a queue in a copy that is at most `MAX_QUEUE_LENGTH_AGE_MS` old. */
  async queueLength(queue: string): Promise<number | undefined> {
    const { follower } = this;
    if (this.age(follower.knownAsOf) > QUEUE_LENGTH_REFRESH_AGE_MS) {
      await this.refreshInTime(follower.refresh);
    }
    // A silent leader does not add newly accepted jobs to the summary.
    const isLed =
      this.age(follower.leaderReceivedAt) <= MAX_QUEUE_LENGTH_AGE_MS;
    const isCounted =
      isLed || (await this.refreshInTime(follower.refreshInbox));
    if (!isCounted || this.age(follower.knownAsOf) > MAX_QUEUE_LENGTH_AGE_MS) {
      this.ctx.meters.refused('queue_length', 'stale');
      return undefined;
    }
    return follower.waitingIn(queue);
  }

  /** Applies a record that this host has appended to the inbox. */
  applyOwnAppend(record: InboxRecord, offset: number): void {
    this.follower.noteSubmitted(record, offset);
  }

  /** Reads the submissions that the summary does not include yet. */
  readInbox(): Promise<boolean> {
    return this.follower.refreshInbox();
  }

  private async refreshInTime(read: () => Promise<boolean>): Promise<boolean> {
    return (await withTimeout(this.ctx, read(), ANSWER_TIMEOUT_MS)) === true;
  }

  private age(since: Instant): number {
    return this.ctx.clock() - since;
  }

  private isFinal(job: string): boolean {
    const status = this.follower.summary.statusOf(job);
    return status === 'completed' || status === 'failed';
  }
}
