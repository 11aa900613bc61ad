/** Limits the log lines of each message per second. */
import type { Instant, Millis } from '@paddlewind/domain';

/** Length of the window in which lines are counted. */
const WINDOW_MS: Millis = 1_000;

interface WindowCount {
  readonly startedAt: Instant;
  lines: number;
}

/** Counts lines by message; suppresses those over the limit and counts them for a later report. */
export class LineBudget {
  private readonly counts = new Map<string, WindowCount>();
  private suppressed = new Map<string, number>();

  /** Allows `linesPerSecond` lines per message; messages for which `isUnlimited` holds have no limit. */
  constructor(
    private readonly linesPerSecond: number,
    private readonly isUnlimited: (msg: string) => boolean,
  ) {}

  /** Counts a line and returns whether it may be written at `now`. */
  allows(msg: string, now: Instant): boolean {
    if (this.isUnlimited(msg)) {
      return true;
    }
    const count = this.countOf(msg, now);
    count.lines += 1;
    if (count.lines <= this.linesPerSecond) {
      return true;
    }
    this.suppressed.set(msg, (this.suppressed.get(msg) ?? 0) + 1);
    return false;
  }

  /** Returns the number of suppressed lines of each message since the last call, and resets it. */
  takeSuppressed(): ReadonlyMap<string, number> {
    const taken = this.suppressed;
    this.suppressed = new Map();
    return taken;
  }

  private countOf(msg: string, now: Instant): WindowCount {
    const current = this.counts.get(msg);
    if (current !== undefined && now - current.startedAt < WINDOW_MS) {
      return current;
    }
    const fresh = { startedAt: now, lines: 0 };
    this.counts.set(msg, fresh);
    return fresh;
  }
}
