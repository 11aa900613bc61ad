/**
 * Time as recorded in the journal: the sum of the times that leaders report to have led and of the silences
 * of the log between them. It is the same for all readers, however late they read, and unaffected by clock
 * jumps. The time between two leaders is known only within bounds, so two clocks are kept: the slow one runs
 * at most as fast as true time, the fast one at least as fast.
 */
import { UNKNOWN_SPAN, type Millis, type SpanBounds } from '../core/time.js';

/** A moment between two consecutive records that report how long a leader has led. */
export interface JournalMoment {
  /** Slow clock at the later record; infinite until that record is read. */
  nextRecordSlow: Millis;
  /** Fast clock at the earlier record; `-Infinity` if unknown. */
  readonly previousRecordFast: Millis;
}

/** Computes journal time from the records of leaders. */
export class JournalTime {
  /** Lower and upper bound of the time of the newest record. */
  private slowNow: Millis = 0;
  private fastNow: Millis = 0;
  private pendingMoment: JournalMoment = {
    nextRecordSlow: Infinity,
    previousRecordFast: 0,
  };
  private epoch = 0;
  private ledForMs: Millis = 0;
  private previousUntil: Millis = 0;
  /** Time at which the newest leader started to lead, by both clocks; undefined until its first report. */
  private leaderStart:
    { readonly slow: Millis; readonly fast: Millis } | undefined;
  /** Time of the fast clock before which moments have no upper bound on their age. */
  private boundedSince: Millis = 0;

  /** Journal time of the newest record. */
  get now(): Millis {
    return this.slowNow;
  }

  /**
   * The current moment. The next record completes it, since the time of the newest record would be too early:
   * a leader that cannot reach the log writes nothing, and reports only later how long it has led.
   */
  get currentMoment(): JournalMoment {
    return this.pendingMoment;
  }

  /** Journal time of the last record of the previous leader. */
  get previousLeaderUntil(): Millis {
    return this.previousUntil;
  }

  /** Returns the time between an earlier moment and the start of the newest leader. */
  spanBeforeLeader({
    nextRecordSlow,
    previousRecordFast,
  }: JournalMoment): SpanBounds {
    const { slow, fast } = this.leaderStart ?? {
      slow: this.previousUntil,
      fast: Infinity,
    };
    const to =
      previousRecordFast < this.boundedSince
        ? Infinity
        : fast - previousRecordFast;
    return { from: Math.max(0, slow - nextRecordSlow), to };
  }

  /** Notes that another host leads. */
  noteClaim(epoch: number): void {
    this.epoch = epoch;
    this.ledForMs = 0;
    this.previousUntil = this.slowNow;
    this.leaderStart = undefined;
  }

  /** Notes how long a leader has led, undefined if its version does not report it, and the silence before. */
  noteLeadTime(
    epoch: number,
    ledForMs: Millis | undefined,
    silence = UNKNOWN_SPAN,
  ): void {
    if (ledForMs === undefined || epoch < this.epoch) {
      return;
    }
    if (epoch > this.epoch) {
      // The leader's claim is no longer in the log: the time it led before this record is not counted.
      this.noteClaim(epoch);
      this.ledForMs = ledForMs;
    }
    if (this.leaderStart === undefined) {
      this.noteSilence(silence);
    }
    const elapsedMs = Math.max(0, ledForMs - this.ledForMs);
    this.slowNow += elapsedMs;
    this.fastNow += elapsedMs;
    this.ledForMs = Math.max(ledForMs, this.ledForMs);
    this.pendingMoment.nextRecordSlow = this.slowNow;
    this.pendingMoment = {
      nextRecordSlow: Infinity,
      previousRecordFast: this.fastNow,
    };
  }

  private noteSilence({ from, to }: SpanBounds): void {
    this.slowNow += from;
    if (to === Infinity) {
      this.fastNow += 1;
      this.boundedSince = this.fastNow;
    } else {
      this.fastNow += to;
    }
    this.leaderStart = { slow: this.slowNow, fast: this.fastNow };
  }
}
