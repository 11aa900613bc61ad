/** Answers callers on a host that reads the journal. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  FORECAST_VALID_MS,
  reportedStateOf,
  type InboxRecord,
  type JobState,
  type AdmissionLimits,
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
import type { Leader } from './leader.js';
import type { FoldedStream, Replica } from './replica.js';
import { FailedAnswers } from './seen-failures.js';

/** The view of the leader and its standbys. */
export class ReplicaView implements CallerView {
  private readonly failedAnswers: FailedAnswers;

  /** Creates the view; `leader` returns the leader while this host leads. */
  constructor(
    private readonly ctx: HostContext,
    private readonly replica: Replica,
    private readonly leader: () => Pick<Leader, 'recorded'> | undefined,
  ) {
    const epoch = (): number => replica.state.claim.epoch;
    this.failedAnswers = new FailedAnswers(ctx.log, 'journal', epoch);
  }

  /** Monotonic time of the last answer from the log. */
  get contactAt(): Instant {
    return this.replica.contactAt;
  }

  /** Whether both streams have been read once. */
  get isComplete(): boolean {
    return this.replica.isComplete;
  }

  /** Number of unfinished jobs. */
  get openJobs(): number {
    return this.replica.state.openJobs.size;
  }

  /** Monotonic time up to which the inbox is known. */
  get inboxKnownAsOf(): Instant {
    return this.replica.knownAsOf('inbox');
  }

  /** Limits on the jobs that are accepted, as the leader has last reported them. */
  get admissionLimits(): AdmissionLimits {
    const { replica, ctx } = this;
    const limits = replica.state.admissionLimits;
    // A leader's own limits are dated by the time at which it recorded them.
    if (this.leader() !== undefined) {
      return limits;
    }
    // Counted from the earliest time at which the heartbeat may have been written, which is long ago after an
    // outage of the log.
    const now = ctx.clock();
    const roomsUntil = now - replica.heartbeatAge(now).to + FORECAST_VALID_MS;
    return { ...limits, roomsUntil };
  }

  /** Whether a job is known without reading from the log. */
  has(job: string): boolean {
    return this.replica.state.jobs.has(job);
  }

  /** Looks for a job in the inbox and then in the journal, the only stream with old submissions. */
  find(job: string): Promise<JobLookup> {
    return findByReading(
      () => this.has(job),
      [() => this.refreshInTime('inbox'), () => this.refreshInTime('journal')],
    );
  }

  /** Returns a job's state as of a moment after the call. */
  status(job: string): Promise<StatusResult> {
    let decided: JobState | undefined;
    const refresh = async (): Promise<boolean> => {
      // What a leader decides while it waits may never be recorded.
      decided = this.leader() === undefined ? undefined : this.stateOf(job);
      return this.refreshInTime('journal');
    };
    return lookUpStatus({
      ctx: this.ctx,
      find: () => this.find(job),
      // A leader's own decisions may never be recorded, not even that a job has finished.
      isFinal: () => this.leader() === undefined && this.isFinal(job),
      refresh: async () => {
        const isRefreshed = await refresh();
        const earlier = decided;
        const hasFinished = !isFinalState(earlier) && this.isFinal(job);
        if (isRefreshed && earlier !== undefined && hasFinished) {
          // Callers wait for a job to finish.
          decided = (await refresh()) ? decided : earlier;
        }
        return isRefreshed;
      },
      currentState: () => decided ?? this.stateOf(job),
      noteAnswer: state => {
        this.failedAnswers.noteAnswer(job, state);
      },
    });
  }

  /** Counts the waiting jobs of a queue in a copy that is at most `MAX_QUEUE_LENGTH_AGE_MS` old. */
  async queueLength(queue: string): Promise<number | undefined> {
    if (!(await this.isRecent())) {
      this.ctx.meters.refused('queue_length', 'stale');
      return undefined;
    }
    let count = 0;
    for (const job of this.replica.state.openJobs) {
      if (!job.hasStarted && job.spec.terms.queue === queue) {
        count += 1;
      }
    }
    return count;
  }

  /** Applies a record that this host has appended to the inbox. */
  applyOwnAppend(record: InboxRecord, offset: number): void {
    this.replica.applyOwn(offset, [record]);
  }

  /** Reads the inbox to its end. */
  readInbox(): Promise<boolean> {
    return this.replica.refresh('inbox');
  }

  /** Whether this host's copy is recent enough to count in; refreshes it if necessary. */
  private async isRecent(): Promise<boolean> {
    const { ctx, replica } = this;
    const age = (): Millis =>
      ctx.clock() -
      Math.min(replica.knownAsOf('inbox'), replica.knownAsOf('journal'));
    if (this.leader() === undefined && age() <= QUEUE_LENGTH_REFRESH_AGE_MS) {
      return true;
    }
    const isLeader = this.leader() !== undefined;
    // A read that fails or times out leaves the copy as old as it was.
    const refreshed = await Promise.all([
      this.refreshInTime('inbox'),
      this.refreshInTime('journal'),
    ]);
    return isLeader
      ? refreshed.every(Boolean)
      : age() <= MAX_QUEUE_LENGTH_AGE_MS;
  }

  /**
   * Reads a stream to its end; false if that fails or takes too long. A leader has its journal
   * already and only waits until its decisions are recorded.
   */
  private async refreshInTime(stream: FoldedStream): Promise<boolean> {
    const { ctx, replica } = this;
    const leader = this.leader();
    const refreshing =
      leader !== undefined && stream === 'journal'
        ? leader.recorded()
        : replica.refresh(stream);
    return (await withTimeout(ctx, refreshing, ANSWER_TIMEOUT_MS)) === true;
  }

  private stateOf(job: string): JobState | undefined {
    const known = this.replica.state.jobs.get(job);
    return known === undefined ? undefined : reportedStateOf(known);
  }

  private isFinal(job: string): boolean {
    return isFinalState(this.stateOf(job));
  }
}

function isFinalState(state: JobState | undefined): boolean {
  return state?.status === 'completed' || state?.status === 'failed';
}
