/** Tracks the CPU share and the CPU use of each running attempt. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { AttemptRef, WorkerReport } from '@paddlewind/ports';

import type { RunningAttempt } from '../scheduler/index.js';

/** Time constant of the moving average of reported use. */
const USE_TIME_CONSTANT_MS = 50_000;

/** Smallest share by which reported use is divided. */
const MIN_SHARE = 0.05;

/** A running attempt and what is known about its CPU use. */
export interface TrackedAttempt {
  readonly attempt: RunningAttempt;
  readonly firstSeenAt: Instant;
  /**
   * Share that the agent last accepted; undefined for an attempt that was not new when first seen,
   * until the agent accepts one.
   */
  share: number | undefined;
  shareSince: Instant;
  shareBefore: number;
  /** Average cores that the attempt would use unthrottled; the requested cores until a report arrives. */
  cores: number;
  reportedAt: Instant | undefined;
}

/** Tracks the running attempts. */
export interface AttemptTracker {
  /** Adds newly running attempts and removes those that no longer run. */
  refresh(running: readonly RunningAttempt[], now: Instant): void;
  /** Returns all tracked attempts. */
  all(): Iterable<TrackedAttempt>;
  /** Returns an attempt, or undefined if it is not tracked. */
  find(ref: AttemptRef): TrackedAttempt | undefined;
  /** Records that the agent accepted a share. */
  setShare(ref: AttemptRef, share: number, now: Instant): void;
  /** Adds the use in a report to the averages; `asOf` is when it was measured. */
  recordReport(report: WorkerReport, asOf: Instant): void;
}

/**
 * Creates an empty tracker. An attempt that started at least `newAttemptAgeMs` before it is first seen
 * may have been throttled by another owner.
 */
export function createAttemptTracker(
  wall: () => Instant,
  newAttemptAgeMs: Millis,
): AttemptTracker {
  const tracked = new Map<string, TrackedAttempt>();

  function refresh(running: readonly RunningAttempt[], now: Instant): void {
    const keys = new Set<string>();
    for (const attempt of running) {
      const key = keyOf(attempt.ref);
      keys.add(key);
      if (!tracked.has(key)) {
        const isNew = wall() - attempt.startedAtWall < newAttemptAgeMs;
        tracked.set(key, newEntry(attempt, isNew, now));
      }
    }
    for (const key of tracked.keys()) {
      if (!keys.has(key)) {
        tracked.delete(key);
      }
    }
  }

  return {
    refresh,
    all: () => tracked.values(),
    find: ref => tracked.get(keyOf(ref)),
    setShare: (ref, share, now) => {
      const entry = tracked.get(keyOf(ref));
      if (entry !== undefined) {
        entry.shareBefore = entry.share ?? share;
        entry.share = share;
        entry.shareSince = now;
      }
    },
    recordReport: (report, asOf) => {
      for (const { task, attempt, state, usage } of report.attempts) {
        const entry = tracked.get(keyOf({ task, attempt }));
        if (entry !== undefined && state === 'running') {
          averageUse(entry, usage.cpu, asOf);
        }
      }
    },
  };
}

function keyOf(ref: AttemptRef): string {
  return `${ref.task}#${ref.attempt}`;
}

function newEntry(
  attempt: RunningAttempt,
  isNew: boolean,
  now: Instant,
): TrackedAttempt {
  return {
    attempt,
    firstSeenAt: now,
    share: isNew ? 1 : undefined,
    shareSince: now,
    shareBefore: 1,
    cores: attempt.size.cpu,
    reportedAt: undefined,
  };
}

function averageUse(entry: TrackedAttempt, cpu: number, asOf: Instant): void {
  if (asOf < entry.firstSeenAt) {
    return;
  }
  const before = entry.reportedAt ?? entry.firstSeenAt;
  const elapsed = Math.max(0, asOf - before);
  entry.reportedAt = Math.max(before, asOf);
  const share = asOf >= entry.shareSince ? entry.share : entry.shareBefore;
  const unthrottledCpu = cpu / Math.max(MIN_SHARE, share ?? 1);
  const weight = 1 - Math.exp(-elapsed / USE_TIME_CONSTANT_MS);
  entry.cores += weight * (unthrottledCpu - entry.cores);
}
