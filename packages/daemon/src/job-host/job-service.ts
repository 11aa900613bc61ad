/** What callers ask of a host: submit, state, cancel and the length of a queue. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  encodeRecord,
  statusOf,
  type InboxRecord,
  type JobSpec,
  type JobStatus,
} from '@paddlewind/domain/jobs';
import type { AppendResult, JobLog } from '@paddlewind/ports/jobs';

import { pause, type HostContext } from './context.js';
import type { Leader } from './leader.js';
import type { Replica } from './replica.js';
import { CONTACT_LOST_MS } from './timing.js';

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
/** Age up to which a queue's length may be told without reading. */
const PENDING_AGE_MS = 700;

/** The service that entry hosts offer to callers. */
export class JobService {
  private readonly refreshInbox: () => Promise<boolean>;
  private readonly refreshJournal: () => Promise<boolean>;
  private pendingReadAt: Instant = -Infinity;

  /** Creates the service; `leader` is this host's, while it leads. */
  constructor(
    private readonly ctx: HostContext,
    private readonly jobLog: JobLog,
    private readonly replica: Replica,
    private readonly leader: () => Leader | undefined,
  ) {
    this.refreshInbox = coalesce(() => replica.refresh('inbox'));
    this.refreshJournal = coalesce(() => replica.refresh('journal'));
  }

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
    if (found !== 'known') {
      return { kind: found === 'unknown' ? 'no_such_job' : 'unavailable' };
    }
    const leading = this.leader();
    if (leading !== undefined) {
      const recorded = leading.recorded();
      if ((await within(this.ctx, recorded, GIVE_UP_MS)) !== true) {
        return { kind: 'unavailable' };
      }
    } else if (!isFinal(this.replica, job)) {
      await this.refreshJournal();
    }
    const known = this.replica.state.jobs.get(job);
    return known === undefined
      ? { kind: 'unavailable' }
      : { kind: 'known', status: statusOf(known) };
  }

  /** Number of accepted jobs of a queue for which nothing has begun. */
  async pending(queue: string): Promise<number> {
    const now = this.ctx.clock();
    if (now - this.pendingReadAt > PENDING_AGE_MS) {
      this.pendingReadAt = now;
      await this.refreshInbox();
      if (this.leader() === undefined) {
        await this.refreshJournal();
      }
    }
    let count = 0;
    for (const job of this.replica.state.open) {
      if (!job.begun && job.spec.terms.queue === queue) {
        count += 1;
      }
    }
    return count;
  }

  private async change(
    record: InboxRecord,
    job: string,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const result = await this.append(record, deadline);
    this.ctx.log.info({ job, change: record.kind, result }, 'jobs: answered');
    return result;
  }

  /** Appends, once more when the answer is late, and tells soon when the outcome stays unknown. */
  private async append(
    record: InboxRecord,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const { ctx } = this;
    const now = ctx.clock();
    if (now - this.replica.contactAt > CONTACT_LOST_MS) {
      return { kind: 'refused', reason: 'the log does not answer this host' };
    }
    const giveUpAt = Math.min(deadline - ANSWER_MARGIN_MS, now + GIVE_UP_MS);
    const encoded = [encodeRecord(record)];
    const first = this.jobLog.append('inbox', encoded);
    const early = await within(ctx, first, SECOND_TRY_MS);
    if (early !== undefined && early.kind !== 'unknown') {
      return this.settle(record, early);
    }
    // A job is accepted once, however often it is in the inbox.
    const second = this.jobLog.append('inbox', encoded);
    const left = Math.max(0, giveUpAt - ctx.clock());
    const late = await within(ctx, eitherAppended(first, second), left);
    return late?.kind === 'appended'
      ? this.settle(record, late)
      : { kind: 'unknown', reason: 'the log did not answer in time' };
  }

  private settle(record: InboxRecord, result: AppendResult): ChangeResult {
    if (result.kind === 'appended') {
      this.replica.applyOwn(result.offset, [record]);
      return { kind: 'recorded' };
    }
    const reason = 'reason' in result ? result.reason : result.kind;
    return { kind: 'refused', reason };
  }

  private async find(
    job: string,
  ): Promise<'known' | 'unknown' | 'unavailable'> {
    const { replica } = this;
    if (replica.state.jobs.has(job)) {
      return 'known';
    }
    if (!(await this.refreshInbox())) {
      return 'unavailable';
    }
    return replica.state.jobs.has(job) ? 'known' : 'unknown';
  }
}

function isFinal({ state }: Replica, id: string): boolean {
  const job = state.jobs.get(id);
  return job !== undefined && ['completed', 'failed'].includes(statusOf(job));
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

/** Runs `read` for all who ask while one is under way, once more after it. */
function coalesce(read: () => Promise<boolean>): () => Promise<boolean> {
  let running: Promise<boolean> | undefined;
  let queued: Promise<boolean> | undefined;

  async function runNext(): Promise<boolean> {
    await running;
    queued = undefined;
    running = read();
    try {
      return await running;
    } finally {
      running = undefined;
    }
  }

  return () => {
    if (running === undefined && queued === undefined) {
      queued = runNext();
    }
    queued ??= runNext();
    return queued;
  };
}
