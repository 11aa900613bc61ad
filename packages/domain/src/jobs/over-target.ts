/** Tracks for how long serving tasks have been over their tail latency targets, from inaccurate readings. */
import type { Instant, Millis } from '../core/time.js';
import type { Run } from './job.js';

/** Fraction of the target below which a reading ends a span, since readings may be off by up to a fifth. */
const CLEARLY_BELOW_TARGET = 0.8;
/** Time without a reading above the target that ends a span: three reports of 350 ms. */
const SETTLE_MS: Millis = 1_200;

/** A span of time in which a task counts as over its target. */
interface OverTargetSpan {
  readonly since: Instant;
  /** Time of the newest reading above the target. */
  readonly lastAboveAt: Instant;
}

/**
 * Tracks for how long tasks have been over their targets. If a tail is slightly above its target, some of its
 * readings are below, and must not restart the count. Users tolerate 4 s: a task is disturbed for 2.9 s at
 * most, against up to 4.5 s if every reading below the target ended a span (24,000 simulated cases with
 * readings off by up to a fifth, and one case that shows the fault). In exchange, about 0.01 less of the
 * value of fillers' work is served.
 */
export class OverTargetTracker {
  private readonly spans = new WeakMap<Run, OverTargetSpan>();
  private readonly lastReadingAt = new WeakMap<Run, Instant>();

  /** Records a reading of a run; if this ends a span over its target, returns how long that span was. */
  recordReading(run: Run, tail: Millis, now: Instant): Millis | undefined {
    const target = run.task.step.spec.tailTargetMs ?? Infinity;
    // The tail may have risen above the target at any time since the previous reading.
    const since = this.lastReadingAt.get(run) ?? now;
    this.lastReadingAt.set(run, now);
    const span = this.spans.get(run);
    if (tail > target) {
      this.spans.set(run, { since: span?.since ?? since, lastAboveAt: now });
      return undefined;
    }
    if (
      span === undefined ||
      (tail > CLEARLY_BELOW_TARGET * target &&
        now - span.lastAboveAt <= SETTLE_MS)
    ) {
      return undefined;
    }
    this.spans.delete(run);
    return span.lastAboveAt - span.since;
  }

  /** Returns for how long a run has been over its target; 0 if it is not. */
  overTargetMs(run: Run, now: Instant): Millis {
    return now - (this.spans.get(run)?.since ?? now);
  }
}
