/** What an owner knows of one worker: when it renewed, and what the agent answered. */
import type { Instant } from '@paddlewind/domain';
import type { AttemptRef, WorkerReport } from '@paddlewind/ports';

import type { TaskTiming } from './types.js';

/** An attempt whose start was sent. */
export interface SentStart {
  /** Agent's boot as known when the start was first sent; undefined when not known. */
  readonly boot: string | undefined;
  /** When the agent acknowledged the start or reported the attempt; undefined before. */
  confirmedAt: Instant | undefined;
  /** When the last start sent was given up unanswered; undefined before. */
  givenUpAt?: Instant;
  /** Agent's boot that last reported the attempt as not ended; undefined before. */
  seenBoot?: string;
  inFlight: boolean;
}

/** The owner's side of one worker. */
export interface WorkerLink {
  readonly worker: string;
  /** Latest instant before a renewal or start was sent; none since this process became owner when -Infinity. */
  renewSentAt: Instant;
  /** Send time of the last sync that was answered. */
  answeredSentAt: Instant;
  /** Since when syncs have gone unanswered; undefined while answered. */
  silentSince: Instant | undefined;
  syncDueAt: Instant;
  syncInFlight: boolean;
  report: WorkerReport | undefined;
  readonly starts: Map<string, SentStart>;
  /** Ended attempts whose end is recorded, to be acknowledged. */
  readonly acknowledge: Map<string, AttemptRef>;
}

/** Returns the link to a worker that was not heard of yet. */
export function newWorkerLink(worker: string, now: Instant): WorkerLink {
  return {
    worker,
    renewSentAt: -Infinity,
    answeredSentAt: -Infinity,
    silentSince: now,
    syncDueAt: now,
    syncInFlight: false,
    report: undefined,
    starts: new Map(),
    acknowledge: new Map(),
  };
}

/** Key of an attempt. */
export function attemptKey(ref: AttemptRef): string {
  return `${ref.task}#${ref.attempt}`;
}

/** Tells whether the worker answers, or fell silent only a short while ago. */
export function isReachable(
  link: WorkerLink,
  timing: TaskTiming,
  now: Instant,
): boolean {
  const { silentSince } = link;
  return silentSince === undefined || now - silentSince < timing.suspectMs;
}

/** Returns when every task lease at the worker has lapsed, given that no owner renews any more. */
export function leasesLapseAt(
  link: WorkerLink,
  timing: TaskTiming,
  formerUntil: Instant,
): Instant {
  const last = Math.max(link.renewSentAt, formerUntil);
  return last + timing.leaseMs * (1 + timing.drift) + timing.marginMs;
}

/** Takes an answer to a sync sent at `sentAt`. */
export function answered(
  link: WorkerLink,
  report: WorkerReport,
  sentAt: Instant,
): void {
  link.report = report;
  link.answeredSentAt = sentAt;
  link.silentSince = undefined;
}

/** Share of a shard's workers whose answers outweigh any other owner's. */
const MOST_WORKERS = 0.75;

/** Tells whether most workers answered a sync sent at or after `since`. */
export function mostAnswered(
  links: Iterable<WorkerLink>,
  since: Instant,
): boolean {
  let all = 0;
  let recent = 0;
  for (const link of links) {
    all++;
    recent += link.answeredSentAt >= since ? 1 : 0;
  }
  return all > 0 && recent >= all * MOST_WORKERS;
}
