/** What callers ask of a host: submit, state, cancel and the length of a queue. */
import type { Instant } from '@paddlewind/domain';
import {
  askedSizeOf,
  encodeRecord,
  type InboxRecord,
  type JobSpec,
} from '@paddlewind/domain/jobs';
import type { AppendResult } from '@paddlewind/ports/jobs';

import {
  GIVE_UP_MS,
  within,
  type CallerView,
  type StatusResult,
} from './caller-view.js';
import type { HostContext } from './context.js';
import type { InboxSender } from './inbox-sender.js';

/** What became of a submission or a cancellation. */
export type ChangeResult =
  | { readonly kind: 'recorded' }
  | { readonly kind: 'no_such_job' }
  /** Nothing was recorded, nor will be. */
  | { readonly kind: 'refused'; readonly reason: string }
  /** It may be recorded. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Time before the caller's deadline at which an outcome that is still unknown is told. */
const ANSWER_MARGIN_MS = 300;

/** The service that entry hosts offer to callers. */
export class JobService {
  /** Creates the service; `view` is what this host knows at present. */
  constructor(
    private readonly ctx: HostContext,
    private readonly inbox: InboxSender,
    private readonly view: () => CallerView,
  ) {}

  /** Accepts a job once it is recorded; a repeat changes nothing. */
  async submit(job: JobSpec, deadline: Instant): Promise<ChangeResult> {
    if (this.view().has(job.id)) {
      return { kind: 'recorded' };
    }
    const atWall = this.ctx.wallClock();
    return this.change({ kind: 'submit', job, atWall }, job.id, deadline);
  }

  /** Cancels a job once that is recorded. */
  async cancel(job: string, deadline: Instant): Promise<ChangeResult> {
    switch (await this.view().find(job)) {
      case 'known':
        return this.change({ kind: 'cancel', job }, job, deadline);
      case 'unknown':
        return { kind: 'no_such_job' };
      case 'unavailable':
        return { kind: 'refused', reason: 'the log does not answer' };
    }
  }

  /** Tells a job's state as of a moment after the call. */
  status(job: string): Promise<StatusResult> {
    return this.view().status(job);
  }

  /** Number of accepted jobs of a queue of which nothing has begun; undefined while that can't be known. */
  queueLength(queue: string): Promise<number | undefined> {
    return this.view().queueLength(queue);
  }

  private async change(
    record: InboxRecord,
    job: string,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const result = await this.append(record, deadline);
    const asked = record.kind === 'submit' ? askedFor(record.job) : {};
    this.ctx.log.info(
      { job, ...asked, change: record.kind, result },
      'jobs: answered',
    );
    return result;
  }

  /** Tells soon when the outcome stays unknown. */
  private async append(
    record: InboxRecord,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const { ctx } = this;
    const now = ctx.clock();
    const giveUpAt = Math.min(deadline - ANSWER_MARGIN_MS, now + GIVE_UP_MS);
    const work = this.inbox.append([encodeRecord(record)]);
    const result = await within(ctx, work, Math.max(0, giveUpAt - now));
    return result === undefined
      ? { kind: 'unknown', reason: 'the log did not answer in time' }
      : this.settle(record, result);
  }

  private settle(record: InboxRecord, result: AppendResult): ChangeResult {
    if (result.kind === 'appended') {
      this.view().noteOwn(record, result.offset);
      return { kind: 'recorded' };
    }
    if (result.kind === 'unknown') {
      return result;
    }
    const reason = 'reason' in result ? result.reason : result.kind;
    return { kind: 'refused', reason };
  }
}

/** What the log tells of a job that a caller asks for. */
function askedFor(job: JobSpec): Record<string, unknown> {
  return { queue: job.terms.queue, ...askedSizeOf(job) };
}
