/** What is known of each running attempt: the share that it was throttled to, and its use. */
import type { Instant, Millis } from '@paddlewind/domain';
import type { AttemptRef, WorkerReport } from '@paddlewind/ports';

import type { RunningAttempt } from '../scheduler/index.js';

/** Time constant over which reported use is averaged, in milliseconds. */
const USE_TIME_MS = 50_000;

/** Least share by which a report is scaled up. */
const LEAST_SHARE = 0.05;

/** An attempt as followed here. */
export interface BookedAttempt {
  readonly attempt: RunningAttempt;
  readonly firstSeenAt: Instant;
  /** Share that the agent last took; undefined until it took one, or the attempt began here. */
  share: number | undefined;
  shareSince: Instant;
  shareBefore: number;
  /** Cores in use when not throttled, averaged; what is set aside until reported. */
  cores: number;
  reportedAt: Instant | undefined;
}

/** The attempts that run now. */
export interface AttemptBook {
  /** Takes the attempts that run now; forgets all others. */
  refresh(running: readonly RunningAttempt[], now: Instant): void;
  all(): Iterable<BookedAttempt>;
  find(ref: AttemptRef): BookedAttempt | undefined;
  /** Notes that the agent took a share. */
  setShare(ref: AttemptRef, share: number, now: Instant): void;
  /** Averages the use in a report whose figures were true at `asOf`. */
  takeReport(report: WorkerReport, asOf: Instant): void;
}

/** Creates an empty book; attempts that began before `freshMs` ago may have been throttled by another owner. */
export function createAttemptBook(
  wall: () => Instant,
  freshMs: Millis,
): AttemptBook {
  const booked = new Map<string, BookedAttempt>();

  function refresh(running: readonly RunningAttempt[], now: Instant): void {
    const keys = new Set<string>();
    for (const attempt of running) {
      const key = keyOf(attempt.ref);
      keys.add(key);
      if (!booked.has(key)) {
        const fresh = wall() - attempt.startedAtWall < freshMs;
        booked.set(key, newEntry(attempt, fresh, now));
      }
    }
    for (const key of booked.keys()) {
      if (!keys.has(key)) {
        booked.delete(key);
      }
    }
  }

  return {
    refresh,
    all: () => booked.values(),
    find: ref => booked.get(keyOf(ref)),
    setShare: (ref, share, now) => {
      const entry = booked.get(keyOf(ref));
      if (entry !== undefined) {
        entry.shareBefore = entry.share ?? share;
        entry.share = share;
        entry.shareSince = now;
      }
    },
    takeReport: (report, asOf) => {
      for (const { task, attempt, state, usage } of report.attempts) {
        const entry = booked.get(keyOf({ task, attempt }));
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
  fresh: boolean,
  now: Instant,
): BookedAttempt {
  return {
    attempt,
    firstSeenAt: now,
    share: fresh ? 1 : undefined,
    shareSince: now,
    shareBefore: 1,
    cores: attempt.size.cpu,
    reportedAt: undefined,
  };
}

function averageUse(entry: BookedAttempt, cpu: number, asOf: Instant): void {
  if (asOf < entry.firstSeenAt) {
    return;
  }
  const before = entry.reportedAt ?? entry.firstSeenAt;
  const elapsed = Math.max(0, asOf - before);
  entry.reportedAt = Math.max(before, asOf);
  const share = asOf >= entry.shareSince ? entry.share : entry.shareBefore;
  const whole = cpu / Math.max(LEAST_SHARE, share ?? 1);
  const weight = 1 - Math.exp(-elapsed / USE_TIME_MS);
  entry.cores += weight * (whole - entry.cores);
}
