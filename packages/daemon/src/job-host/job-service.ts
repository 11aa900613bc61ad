/** What callers ask of a host: submit, state, cancel and the length of a queue. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  encodeRecord,
  statusOf,
  type InboxRecord,
  type JobSpec,
  type JobStatus,
} from '@paddlewind/domain/jobs';
import type { AppendResult, JobLog, JobStream } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import type { Leader } from './leader.js';
import type { Replica } from './replica.js';
import { CONTACT_LOST_MS, INBOX_RETRY_MS } from './timing.js';

/** What became of a submission or a cancellation. */
export type ChangeResult =
  | { readonly kind: 'recorded' }
  | { readonly kind: 'no_such_job' }
  /** Nothing was recorded, nor will be. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** It may be recorded. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** What is known of a job. */
export type StatusResult =
  | { readonly kind: 'known'; readonly status: JobStatus }
  | { readonly kind: 'no_such_job' }
  | { readonly kind: 'unavailable' };

/** Time before the caller's deadline at which an outcome that is still unknown is told. */
const ANSWER_MARGIN_MS = 300;
/** Time after which an append is sent once more: a slow log answers in some 300 ms. */
const SECOND_TRY_MS: Millis = 450;
/** Time after which an unknown outcome is told: below half of what callers wait. */
const GIVE_UP_MS: Millis = 1_300;
/** Age of this host's copy from which it is read on before a queue's length is told. */
const LENGTH_REREAD_MS: Millis = 700;
/** Oldest copy in which a queue's length may be counted; the users allow 2 s. */
const LENGTH_AGE_MS: Millis = 1_900;

/** The service that entry hosts offer to callers. */
export class JobService {
  /** Whether an append to the inbox broke off and the inbox could not be read since. */
  private inboxInDoubt = false;

  /** Creates the service; `leader` is this host's, while it leads. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
    private readonly replica: Replica,
    private readonly leader: () => Leader | undefined,
  ) {}

  /** Accepts a job once it is recorded; a repeat changes nothing. */
  async submit(job: JobSpec, deadline: Instant): Promise<ChangeResult> {
    if (this.replica.state.jobs.has(job.id)) {
      return { kind: 'recorded' };
    }
    const atWall = this.ctx.wallClock();
    return this.change({ kind: 'submit', job, atWall }, job.id, deadline);
  }

  /** Cancels a job once that is recorded. */
  async cancel(job: string, deadline: Instant): Promise<ChangeResult> {
    switch (await this.find(job)) {
      case 'known':
        return this.change({ kind: 'cancel', job }, job, deadline);
      case 'unknown':
        return { kind: 'no_such_job' };
      case 'unavailable':
        return { kind: 'refused', reason: 'the log does not answer' };
    }
  }

  /** Tells a job's state as of a moment after the call. */
  async status(job: string): Promise<StatusResult> {
    const found = await this.find(job);
    if (found === 'unavailable') {
      this.ctx.meters.refused('status', 'log_away');
    }
    if (found !== 'known') {
      return { kind: found === 'unknown' ? 'no_such_job' : 'unavailable' };
    }
    // What a leader knows beyond the journal may never be recorded, also that a job is over.
    const settled = this.leader() === undefined && this.isFinal(job);
    if (!settled && !(await this.isUpToDate('journal'))) {
      this.ctx.meters.refused('status', 'unrecorded');
      return { kind: 'unavailable' };
    }
    const known = this.replica.state.jobs.get(job);
    return known === undefined
      ? { kind: 'unavailable' }
      : { kind: 'known', status: statusOf(known) };
  }

  /**
   * Number of accepted jobs of a queue of which nothing has begun; undefined while this host can't know
   * it. What is told is at most `LENGTH_AGE_MS` old.
   */
  async queueLength(queue: string): Promise<number | undefined> {
    if (!(await this.isRecent())) {
      this.ctx.meters.refused('queue_length', 'stale');
      return undefined;
    }
    let count = 0;
    for (const job of this.replica.state.open) {
      if (!job.begun && job.spec.terms.queue === queue) {
        count += 1;
      }
    }
    return count;
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
  private async isUpToDate(stream: JobStream): Promise<boolean> {
    const { ctx, replica } = this;
    const leading = this.leader();
    const work =
      leading !== undefined && stream === 'journal'
        ? leading.recorded()
        : replica.refresh(stream);
    return (await within(ctx, work, GIVE_UP_MS)) === true;
  }

  private async change(
    record: InboxRecord,
    job: string,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const result = await this.append(record, deadline);
    const queue = record.kind === 'submit' ? record.job.terms.queue : undefined;
    this.ctx.log.info(
      { job, queue, change: record.kind, result },
      'jobs: answered',
    );
    return result;
  }

  /** Appends, once more when the answer is late, and tells soon when the outcome stays unknown. */
  private async append(
    record: InboxRecord,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const { ctx } = this;
    const now = ctx.clock();
    const lost = now - this.replica.contactAt > CONTACT_LOST_MS;
    if (lost || this.inboxInDoubt) {
      return { kind: 'refused', reason: 'the log does not answer this host' };
    }
    const giveUpAt = Math.min(deadline - ANSWER_MARGIN_MS, now + GIVE_UP_MS);
    const encoded = [encodeRecord(record)];
    const first = this.jobLog.append('inbox', encoded);
    const early = await within(ctx, first, SECOND_TRY_MS);
    if (early !== undefined && early.kind !== 'unknown') {
      return this.settle(record, early);
    }
    if (early !== undefined) {
      void this.doubtInbox();
    }
    // A job is accepted once, however often it is in the inbox.
    const second = this.jobLog.append('inbox', encoded);
    const left = Math.max(0, giveUpAt - ctx.clock());
    const late = await within(ctx, eitherAppended(first, second), left);
    return late?.kind === 'appended'
      ? this.settle(record, late)
      : { kind: 'unknown', reason: 'the log did not answer in time' };
  }

  /**
   * An append broke off, as when the log resets connections: until the inbox can be read, callers are
   * told at once to come back. They were not run, so that they may ask again; the outcome of an append
   * that is tried stays unknown, and on some they don't ask again: 448 of 5,800 on a day of 29 hosts.
   */
  private async doubtInbox(): Promise<void> {
    if (this.inboxInDoubt) {
      return;
    }
    this.inboxInDoubt = true;
    const { ctx, replica } = this;
    const since = ctx.clock();
    while (replica.knownAsOf('inbox') <= since) {
      if (!(await replica.refresh('inbox'))) {
        await pause(ctx, INBOX_RETRY_MS);
      }
    }
    this.inboxInDoubt = false;
  }

  private settle(record: InboxRecord, result: AppendResult): ChangeResult {
    if (result.kind === 'appended') {
      this.replica.applyOwn(result.offset, [record]);
      return { kind: 'recorded' };
    }
    const reason = 'reason' in result ? result.reason : result.kind;
    return { kind: 'refused', reason };
  }

  private isFinal(id: string): boolean {
    const job = this.replica.state.jobs.get(id);
    const over = ['completed', 'failed'];
    return job !== undefined && over.includes(statusOf(job));
  }

  private async find(
    job: string,
  ): Promise<'known' | 'unknown' | 'unavailable'> {
    const { replica } = this;
    for (const stream of ['inbox', 'journal'] as const) {
      if (replica.state.jobs.has(job)) {
        return 'known';
      }
      // A job whose submission is no longer kept is told of by the journal only.
      if (!(await this.isUpToDate(stream))) {
        return 'unavailable';
      }
    }
    return replica.state.jobs.has(job) ? 'known' : 'unknown';
  }
}

/** Resolves with the outcome of `work`, or with undefined after `span`. */
function within<T>(
  ctx: HostContext,
  work: Promise<T>,
  span: Millis,
): Promise<T | undefined> {
  return Promise.race([work, pause(ctx, span).then(() => undefined)]);
}

/** Resolves with the first append that was carried out, or with the last outcome. */
async function eitherAppended(
  first: Promise<AppendResult>,
  second: Promise<AppendResult>,
): Promise<AppendResult> {
  const earlier = await Promise.race([first, second]);
  if (earlier.kind === 'appended') {
    return earlier;
  }
  const [a, b] = await Promise.all([first, second]);
  return a.kind === 'appended' ? a : b;
}
