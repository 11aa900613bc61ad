/** The operations that a host offers to callers: submit, status, cancel and queue length. */
import type { Instant, Millis, Random } from '@paddlewind/domain';
import {
  estimatedSizeOf,
  encodeRecord,
  evenSpread,
  logReturnMs,
  refusalOf,
  CapacityAdmission,
  type InboxRecord,
  type JobSpec,
  type Refusal,
  type AppliedForecast,
  type CapacityRefusal,
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
      /** The forecast by which a job is refused. */
      readonly forecast?: AppliedForecast;
    }
  /** It may have been recorded. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** Why a job is refused: by the leader's limits, or because the log does not answer. */
type RefusalCause = Refusal['why'] | 'log';

/** What the caller of a refused job is told besides the reason. */
type RefusalDetails = Pick<
  Extract<ChangeResult, { kind: 'refused' }>,
  'retryAfterMs' | 'forecast'
>;

const LOG_REFUSAL_REASON = 'the log does not answer';
const REFUSAL_REASONS: Readonly<Record<Refusal['why'], string>> = {
  too_late: 'the leader starts tasks too late',
  evacuated: 'all workers that may run it are in evacuated zones',
  no_room: 'it would end after it has lost its value',
};

/** Time before the caller's deadline at which an outcome that is still unknown is reported. */
const ANSWER_MARGIN_MS = 300;

/** The service that hosts offer to callers. */
export class JobService {
  /** Decides by the forecast of capacity; undefined where nothing is refused by it. */
  private readonly capacityAdmission: CapacityAdmission | undefined;
  /** Spreads the return times of callers that are refused because the log does not answer. */
  private readonly logReturnSpread: Random;

  /**
   * Creates the service; `view` returns the current copy of the state of jobs. Where `admitsByCapacity`, jobs are
   * refused by the leader's forecast of capacity, and the time after which a refused caller should return follows
   * from the cause.
   */
  constructor(
    private readonly ctx: HostContext,
    private readonly inbox: InboxSender,
    private readonly view: () => CallerView,
    admitsByCapacity = false,
  ) {
    this.logReturnSpread = evenSpread(ctx.host);
    this.capacityAdmission = admitsByCapacity
      ? new CapacityAdmission(evenSpread(ctx.host))
      : undefined;
  }

  /** Accepts a job once it is recorded; submitting it again changes nothing. */
  async submit(job: JobSpec, deadline: Instant): Promise<ChangeResult> {
    if (this.view().has(job.id)) {
      return { kind: 'recorded' };
    }
    const refusal = this.findRefusal(job);
    if (refusal?.why === 'no_room') {
      return this.refuseUnlessRecorded(job, refusal, deadline);
    }
    if (refusal !== undefined) {
      const { why, ...details } = refusal;
      return this.refuseByLimits(job, why, details);
    }
    this.capacityAdmission?.noteAccepted(job, this.view().admissionLimits);
    const atWall = this.ctx.wallClock();
    return this.recordChange({ kind: 'submit', job, atWall }, job.id, deadline);
  }

  /** Returns the refusal of a job by the limits that the leader has last reported; undefined if it is accepted. */
  private findRefusal(job: JobSpec): Refusal | undefined {
    const limits = this.view().admissionLimits;
    return this.capacityAdmission === undefined
      ? refusalOf(job, limits)
      : this.capacityAdmission.refusalOf(job, limits, this.ctx.clock());
  }

  /**
   * Refuses a job for which there will be no capacity, unless a read of the log that begins after the call shows
   * it: an earlier attempt may have been recorded through another host, and a refusal says that the job never runs.
   */
  private async refuseUnlessRecorded(
    job: JobSpec,
    refusal: CapacityRefusal,
    deadline: Instant,
  ): Promise<ChangeResult> {
    switch (await this.view().find(job.id)) {
      case 'known':
        return { kind: 'recorded' };
      case 'unavailable':
        return this.refuseForLog(job, deadline);
      case 'unknown': {
        const { why, forecast } = refusal;
        const now = this.ctx.clock();
        const retryAfterMs = this.capacityAdmission?.returnMs(
          job,
          refusal,
          now,
          deadline,
        );
        return this.refuseByLimits(job, why, {
          ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
          forecast,
        });
      }
    }
  }

  private refuseForLog(job: JobSpec, deadline: Instant): ChangeResult {
    return this.answerRefused(job, 'log', this.logRefusal(deadline));
  }

  /** Refuses a job that is known not to be served in time. */
  private refuseByLimits(
    job: JobSpec,
    why: Refusal['why'],
    details: RefusalDetails,
  ): ChangeResult {
    const reason = REFUSAL_REASONS[why];
    return this.answerRefused(job, why, {
      kind: 'refused',
      reason,
      ...details,
    });
  }

  private answerRefused(
    job: JobSpec,
    why: RefusalCause,
    result: ChangeResult,
  ): ChangeResult {
    this.logChange(job.id, job, 'submit', result);
    this.countRefusal(job, why);
    return result;
  }

  private countRefusal(job: JobSpec, why: RefusalCause): void {
    const { coreMs } = estimatedSizeOf(job);
    this.ctx.meters.jobRefused(job.terms.queue, coreMs, why);
  }

  /** Cancels a job; resolves once the cancellation is recorded. */
  async cancel(job: string, deadline: Instant): Promise<ChangeResult> {
    switch (await this.view().find(job)) {
      case 'known':
        return this.recordChange({ kind: 'cancel', job }, job, deadline);
      case 'unknown':
        return { kind: 'no_such_job' };
      case 'unavailable':
        return this.logRefusal(deadline);
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

  /**
   * Returns the time after which a caller should return whose request is refused now because the log does not
   * answer; undefined where all such callers get the same time.
   */
  logReturnMs(deadline: Instant): Millis | undefined {
    if (this.capacityAdmission === undefined) {
      return undefined;
    }
    const now = this.ctx.clock();
    const awayMs = now - this.view().contactAt;
    return logReturnMs(awayMs, this.logReturnSpread, now, deadline);
  }

  /** Returns the refusal of a request that needs the log, which does not answer. */
  private logRefusal(deadline: Instant): ChangeResult {
    return this.withLogReturnTime(
      { kind: 'refused', reason: LOG_REFUSAL_REASON },
      deadline,
    );
  }

  /** Adds the time to return to a refusal because of the log; other results stay as they are. */
  private withLogReturnTime(
    result: ChangeResult,
    deadline: Instant,
  ): ChangeResult {
    if (result.kind !== 'refused') {
      return result;
    }
    const retryAfterMs = this.logReturnMs(deadline);
    return retryAfterMs === undefined ? result : { ...result, retryAfterMs };
  }

  private async recordChange(
    record: InboxRecord,
    job: string,
    deadline: Instant,
  ): Promise<ChangeResult> {
    const appended = await this.append(record, deadline);
    const result = this.withLogReturnTime(appended, deadline);
    const spec = record.kind === 'submit' ? record.job : undefined;
    if (spec !== undefined) {
      this.capacityAdmission?.noteOutcome(spec.id, result.kind !== 'unknown');
    }
    if (spec !== undefined && result.kind === 'refused') {
      this.countRefusal(spec, 'log');
    }
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
