/** Bounds how many lines of each message go out in a second. */
import type { Instant, Millis } from '@paddlewind/domain';

/** Span over which lines are counted. */
const SPAN_MS: Millis = 1_000;

interface Count {
  readonly since: Instant;
  lines: number;
}

/** Counts lines by message; what is over the budget is left out and told later. */
export class LineBudget {
  private readonly counts = new Map<string, Count>();
  private leftOut = new Map<string, number>();

  /** Creates a budget of `perSecond` lines a message; `always` tells messages without a bound. */
  constructor(
    private readonly perSecond: number,
    private readonly always: (msg: string) => boolean,
  ) {}

  /** Tells whether a line may go out at `now`. */
  admits(msg: string, now: Instant): boolean {
    if (this.always(msg)) {
      return true;
    }
    const count = this.countOf(msg, now);
    count.lines += 1;
    if (count.lines <= this.perSecond) {
      return true;
    }
    this.leftOut.set(msg, (this.leftOut.get(msg) ?? 0) + 1);
    return false;
  }

  /** Returns how many lines of each message were left out since the last call. */
  takeLeftOut(): ReadonlyMap<string, number> {
    const taken = this.leftOut;
    this.leftOut = new Map();
    return taken;
  }

  private countOf(msg: string, now: Instant): Count {
    const known = this.counts.get(msg);
    if (known !== undefined && now - known.since < SPAN_MS) {
      return known;
    }
    const fresh = { since: now, lines: 0 };
    this.counts.set(msg, fresh);
    return fresh;
  }
}
