/** The operations that a host offers to callers: submit, status, cancel and queue length. */
import type { Instant, Millis } from '@paddlewind/domain';
import {
  estimatedSizeOf,
  encodeRecord,
  refusalOf,
  type InboxRecord,
  type JobSpec,
  type Refusal,
} from '@paddlewind/domain/jobs';
import type { AppendResult } from '@paddlewind/ports/jobs';

import {
  ANSWER_TIMEOUT_MS,
  withTimeout,
  type CallerView,
  type StatusResult,
} from './caller-view.js';
import type { HostContext } from './context.js';
import type { InboxSender } from './inbox-sender.js';

/** Outcome of a submission or a cancellation. */
export type ChangeResult =
  | { readonly kind: 'recorded' }
  | { readonly kind: 'no_such_job' }
  /** Nothing was or will be recorded. */
  | {
      readonly kind: 'refused';
      readonly reason: string;
      /** Time after which another attempt may succeed; undefined if it is not known. */
      readonly retryAfterMs?: Millis;
    }
  /** It may have been recorded. */
  | { readonly kind: 'unknown'; readonly reason: string };

const REFUSAL_REASONS: Readonly<Record<Refusal['why'], string>> = {
  too_late: 'the leader starts tasks too late',
  evacuated: 'all workers that may run it are in evacuated zones',
};

/** Time before the caller's deadline at which an outcome that is still unknown is reported. */
const ANSWER_MARGIN_MS = 300;

/** The service that hosts offer to callers. */
export class JobService {
  /** Creates the service; `view` returns the current copy of the state of jobs. */
  constructor(
    private readonly ctx: HostContext,
    private readonly inbox: InboxSender,
    private readonly view: () => CallerView,
  ) {}

  /** Accepts a job once it is recorded; submitting it again changes nothing. */
  async submit(job: JobSpec, deadline: Instant): Promise<ChangeResult> {
    if (this.view().has(job.id)) {
      return { kind: 'recorded' };
    }
    const refusal = refusalOf(job, this.view().admissionLimits);
    if (refusal !== undefined) {
      return this.refuse(job, refusal);
    }
    const atWall = this.ctx.wallClock();
    return this.recordChange({ kind: 'submit', job, atWall }, job.id, deadline);
  }

  /** Refuses a job that is known not to be served in time. */
  private refuse(job: JobSpec, refusal: Refusal): ChangeResult {
    const result: ChangeResult = {
      kind: 'refused',
      reason: REFUSAL_REASONS[refusal.why],
      ...('retryAfterMs' in refusal
        ? { retryAfterMs: refusal.retryAfterMs }
        : {}),
    };
    this.logChange(job.id, job, 'submit', result);
    return result;
  }

  /** Cancels a job; resolves once the cancellation is recorded. */
  async cancel(job: string, deadline: Instant): Promise<ChangeResult> {
    switch (await this.view().find(job)) {
      case 'known':
        return this.recordChange({ kind: 'cancel', job }, job, deadline);
      case 'unknown':
        return { kind: 'no_such_job' };
      case 'unavailable':
        return { kind: 'refused', reason: 'the log does not answer' };
    }
  }

  /** Returns a job's state as of a moment after the call. */
  status(job: string): Promise<StatusResult> {
    return this.view().status(job);
  }

  /**
   * Returns the number of accepted jobs of a queue that have not started; undefined if it can't be
   * determined.
   */
  queueLength(queue: string): Promise<number | undefined> {
    return this.view().queueLength(queue);
  }

  private async recordChange(
    record: InboxRecord,
    job: string,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const result = await this.append(record, deadline);
    const spec = record.kind === 'submit' ? record.job : undefined;
    this.logChange(job, spec, record.kind, result);
    return result;
  }

  private logChange(
    job: string,
    spec: JobSpec | undefined,
    change: InboxRecord['kind'],
    result: ChangeResult,
  ): void {
    const jobFields = spec === undefined ? {} : logFieldsOf(spec);
    this.ctx.log.info({ job, ...jobFields, change, result }, 'jobs: answered');
  }

  /** Appends a record and reports an unknown outcome before the caller gives up. */
  private async append(
    record: InboxRecord,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const { ctx } = this;
    const now = ctx.clock();
    const timeoutAt = Math.min(
      deadline - ANSWER_MARGIN_MS,
      now + ANSWER_TIMEOUT_MS,
    );
    const appending = this.inbox.append([encodeRecord(record)]);
    const result = await withTimeout(
      ctx,
      appending,
      Math.max(0, timeoutAt - now),
    );
    return result === undefined
      ? { kind: 'unknown', reason: 'the log did not answer in time' }
      : this.toChangeResult(record, result);
  }

  private toChangeResult(
    record: InboxRecord,
    result: AppendResult,
  ): ChangeResult {
    if (result.kind === 'appended') {
      this.view().applyOwnAppend(record, result.offset);
      return { kind: 'recorded' };
    }
    if (result.kind === 'unknown') {
      return result;
    }
    const reason = 'reason' in result ? result.reason : result.kind;
    return { kind: 'refused', reason };
  }
}

/** Returns the fields that the log line shows for a submitted job. */
function logFieldsOf(job: JobSpec): Record<string, unknown> {
  return { queue: job.terms.queue, ...estimatedSizeOf(job) };
}
