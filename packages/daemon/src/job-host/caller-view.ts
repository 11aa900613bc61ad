/** The state of jobs as a host reports it to callers. */
import type { Instant, Millis } from '@paddlewind/domain';
import type {
  InboxRecord,
  JobState,
  AdmissionLimits,
} from '@paddlewind/domain/jobs';

import { pause, type HostContext } from './context.js';

/** State of a job as reported to a caller. */
export type StatusResult =
  | ({ readonly kind: 'known' } & JobState)
  | { readonly kind: 'no_such_job' }
  | { readonly kind: 'unavailable' };

/** Whether a job was accepted; `unavailable` if that could not be determined. */
export type JobLookup = 'known' | 'unknown' | 'unavailable';

/** A host's copy of submissions and decisions, read from the journal or from the summary. */
export interface CallerView {
  /** Monotonic time of the last answer from the log. */
  readonly contactAt: Instant;
  /** Whether everything that the log keeps has been read once. */
  readonly isComplete: boolean;
  /** Number of unfinished jobs. */
  readonly openJobs: number;
  /** Monotonic time up to which all submissions and cancellations are known. */
  readonly inboxKnownAsOf: Instant;
  /** Limits on the jobs that are accepted, as the leader has last reported them. */
  readonly admissionLimits: AdmissionLimits;
  /** Whether a job is known without reading from the log. */
  has(job: string): boolean;
  /** Returns whether a job was accepted, as of a moment after the call. */
  find(job: string): Promise<JobLookup>;
  /** Returns a job's state as of a moment after the call. */
  status(job: string): Promise<StatusResult>;
  /**
   * Returns the number of accepted jobs of a queue that have not started; undefined if it can't be
   * determined.
   */
  queueLength(queue: string): Promise<number | undefined>;
  /** Applies a record that this host has appended to the inbox. */
  applyOwnAppend(record: InboxRecord, offset: number): void;
  /** Reads the inbox to its end; false if the log did not answer. */
  readInbox(): Promise<boolean>;
}

/** Time after which an outcome is reported as unknown: less than half of the time that callers wait. */
export const ANSWER_TIMEOUT_MS: Millis = 1_300;
/** Age of a host's copy above which it is refreshed before a queue length is returned. */
export const QUEUE_LENGTH_REFRESH_AGE_MS: Millis = 700;
/** Maximum age of the copy that a queue length is counted in; callers accept 2 s. */
export const MAX_QUEUE_LENGTH_AGE_MS: Millis = 1_900;

/** Resolves with the result of `work`, or with undefined after `span`. */
export function withTimeout<T>(
  ctx: HostContext,
  work: Promise<T>,
  span: Millis,
): Promise<T | undefined> {
  return Promise.race([work, pause(ctx, span).then(() => undefined)]);
}

/** Looks for a job, reading more with each of `reads` in turn; `unavailable` if a read fails. */
export async function findByReading(
  has: () => boolean,
  reads: readonly (() => Promise<boolean>)[],
): Promise<JobLookup> {
  for (const read of reads) {
    if (has()) {
      return 'known';
    }
    if (!(await read())) {
      return 'unavailable';
    }
  }
  return has() ? 'known' : 'unknown';
}

/** How a view determines a job's state. */
export interface StatusLookup {
  readonly ctx: HostContext;
  readonly find: () => Promise<JobLookup>;
  /** Whether the known state is final. */
  readonly isFinal: () => boolean;
  /** Refreshes the state; false if that failed. */
  readonly refresh: () => Promise<boolean>;
  /** Returns the known state; undefined if the job was removed meanwhile. */
  readonly currentState: () => JobState | undefined;
  /** Notes the state that is reported. */
  readonly noteAnswer: (state: JobState) => void;
}

/** Returns a job's state as of a moment after the call. */
export async function lookUpStatus({
  ctx,
  find,
  isFinal,
  refresh,
  currentState,
  noteAnswer,
}: StatusLookup): Promise<StatusResult> {
  const lookup = await find();
  if (lookup === 'unavailable') {
    ctx.meters.refused('status', 'log_away');
  }
  if (lookup !== 'known') {
    return { kind: lookup === 'unknown' ? 'no_such_job' : 'unavailable' };
  }
  if (!isFinal() && !(await refresh())) {
    ctx.meters.refused('status', 'unrecorded');
    return { kind: 'unavailable' };
  }
  const state = currentState();
  if (state === undefined) {
    return { kind: 'unavailable' };
  }
  noteAnswer(state);
  return { kind: 'known', ...state };
}
