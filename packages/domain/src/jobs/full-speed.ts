/** Run times without the time that was lost to speed limits. */
import type { Instant, Millis } from '../core/time.js';
import type { Run, RunProgress } from './job.js';

/**
 * Least share of its time that a run has to have been allowed for its time at full speed to be known: limits
 * take effect some 150 ms late, and below this share the error exceeds the variation within a step.
 */
const MIN_KNOWN_SHARE = 0.25;

/** Sets the speed limit of a run, and counts the time that it has lost under the previous one. */
export function limitSpeed(
  progress: RunProgress,
  percent: number,
  now: Instant,
): void {
  progress.throttledMs += lostUnderLimit(progress, now);
  progress.allowedPercent = percent;
  progress.allowedSince = now;
}

/** Returns how long a run would have taken at full speed for what it has done until `until`. */
export function fullSpeedMs(progress: RunProgress, until: Instant): Millis {
  return Math.max(0, until - progress.since - lostMs(progress, until));
}

/** Returns the time at full speed of a run that is over; undefined if it is not known well enough. */
export function knownRunTimeMs(
  { progress }: Run,
  now: Instant,
): Millis | undefined {
  if (progress?.allowedPercent === undefined) {
    return undefined;
  }
  const runTimeMs = fullSpeedMs(progress, now);
  const isKnown = runTimeMs >= MIN_KNOWN_SHARE * (now - progress.since);
  return isKnown ? runTimeMs : undefined;
}

/**
 * Returns the time lost until `until`. Of the limits before the current one only the total is kept, so that a
 * time before `allowedSince`, as that of the last report may be, gets its proportion of it.
 */
function lostMs(progress: RunProgress, until: Instant): Millis {
  const { since, throttledMs, allowedSince } = progress;
  return until < allowedSince
    ? (throttledMs * (until - since)) / (allowedSince - since)
    : throttledMs + lostUnderLimit(progress, until);
}

function lostUnderLimit(
  { allowedPercent, allowedSince }: RunProgress,
  until: Instant,
): Millis {
  // A limit that is not known counts as none.
  const lostShare = 1 - (allowedPercent ?? 100) / 100;
  return Math.max(0, until - allowedSince) * lostShare;
}
