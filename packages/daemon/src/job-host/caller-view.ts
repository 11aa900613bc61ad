/** What a host knows of jobs when callers ask. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { InboxRecord, JobState } from '@paddlewind/domain/jobs';

import { pause, type HostContext } from './context.js';

/** What is known of a job. */
export type StatusResult =
  | ({ readonly kind: 'known' } & JobState)
  | { readonly kind: 'no_such_job' }
  | { readonly kind: 'unavailable' };

/** Whether a job was accepted, as far as that can be told. */
export type FoundJob = 'known' | 'unknown' | 'unavailable';

/** A host's copy of what was asked for and decided, from the journal or from its summary. */
export interface CallerView {
  /** Monotonic time at which the log last answered. */
  readonly contactAt: Instant;
  /** Whether all that the log keeps has been read once. */
  readonly isComplete: boolean;
  /** Number of jobs that are not over. */
  readonly openJobs: number;
  /** Monotonic time as of which all that callers asked for is known. */
  readonly inboxKnownAsOf: Instant;
  /** Whether a job is known without reading on. */
  has(job: string): boolean;
  /** Tells whether a job was accepted, as of a moment after the call. */
  find(job: string): Promise<FoundJob>;
  /** Tells a job's state as of a moment after the call. */
  status(job: string): Promise<StatusResult>;
  /** Number of accepted jobs of a queue of which nothing has begun; undefined while that can't be known. */
  queueLength(queue: string): Promise<number | undefined>;
  /** Takes in a record that this host has appended to the inbox. */
  noteOwn(record: InboxRecord, offset: number): void;
  /** Reads what callers asked for to its end; false when the log did not answer. */
  readInbox(): Promise<boolean>;
}

/** Time after which an unknown outcome is told: below half of what callers wait. */
export const GIVE_UP_MS: Millis = 1_300;
/** Age of a host's copy from which it is read on before a queue's length is told. */
export const LENGTH_REREAD_MS: Millis = 700;
/** Oldest copy in which a queue's length may be counted; the users allow 2 s. */
export const LENGTH_AGE_MS: Millis = 1_900;

/** Resolves with the outcome of `work`, or with undefined after `span`. */
export function within<T>(
  ctx: HostContext,
  work: Promise<T>,
  span: Millis,
): Promise<T | undefined> {
  return Promise.race([work, pause(ctx, span).then(() => undefined)]);
}

/** Looks for a job after each of `reads` in turn; a read that fails leaves it open whether there is one. */
export async function findByReading(
  has: () => boolean,
  reads: readonly (() => Promise<boolean>)[],
): Promise<FoundJob> {
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

/** How a view tells a job's state. */
export interface StatusSteps {
  readonly ctx: HostContext;
  readonly find: () => Promise<FoundJob>;
  /** Whether the state that is known is the last one. */
  readonly isSettled: () => boolean;
  /** Brings the state up to date; false when that can't be done. */
  readonly isUpToDate: () => Promise<boolean>;
  /** The state as it is known; undefined when the job was forgotten meanwhile. */
  readonly newest: () => JobState | undefined;
}

/** Tells a job's state as of a moment after the call. */
export async function tellStatus({
  ctx,
  find,
  isSettled,
  isUpToDate,
  newest,
}: StatusSteps): Promise<StatusResult> {
  const found = await find();
  if (found === 'unavailable') {
    ctx.meters.refused('status', 'log_away');
  }
  if (found !== 'known') {
    return { kind: found === 'unknown' ? 'no_such_job' : 'unavailable' };
  }
  if (!isSettled() && !(await isUpToDate())) {
    ctx.meters.refused('status', 'unrecorded');
    return { kind: 'unavailable' };
  }
  const state = newest();
  return state === undefined
    ? { kind: 'unavailable' }
    : { kind: 'known', ...state };
}
